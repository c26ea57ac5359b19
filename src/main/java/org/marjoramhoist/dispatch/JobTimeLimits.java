package org.marjoramhoist.dispatch;

import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;

/**
 * Until when a job is of use to its caller, by the caller's own estimates.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class JobTimeLimits {

  private static final double MICROS_PER_MILLI = 1_000;

  private JobTimeLimits() {}

  /**
   * Tells whether a job that starts now can end while that is of use.
   *
   * @param arrivedAt when it came in, in microseconds
   * @param deadline when its caller stops waiting, in microseconds
   * @param now the time, in microseconds
   */
  public static boolean canFinishInTime(
      JobDescription job, RequestClass requestClass, long arrivedAt, long deadline, long now) {
    long chainMillis = job.criticalPathMillis(step -> true);
    double objectiveMillis = requestClass.stretch() * chainMillis + requestClass.objectiveMillis();
    double late = arrivedAt + QueueOrder.FIRM_DEADLINE_FACTOR * micros(objectiveMillis);
    return now + micros(chainMillis) <= Math.min(deadline, late);
  }

  private static double micros(double millis) {
    return millis * MICROS_PER_MILLI;
  }
}
