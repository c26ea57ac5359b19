package org.marjoramhoist.dispatch;

import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;

/**
 * Decides by the caller's estimates whether a job can finish while its result is still useful.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class JobTimeLimits {

  private static final double MICROS_PER_MILLI = 1_000;

  private JobTimeLimits() {}

  /**
   * Tells whether a job that starts now can finish before its caller's deadline and its firm
   * deadline.
   *
   * @param arrivedAt when its request was received, in microseconds
   * @param deadline when its caller stops waiting, in microseconds
   * @param now the time, in microseconds
   */
  public static boolean canFinishInTime(
      JobDescription job, RequestClass requestClass, long arrivedAt, long deadline, long now) {
    long chainMillis = job.criticalPathMillis(step -> true);
    double objectiveMillis = requestClass.stretch() * chainMillis + requestClass.objectiveMillis();
    double firmDeadline = arrivedAt + QueueOrder.FIRM_DEADLINE_FACTOR * micros(objectiveMillis);
    return now + micros(chainMillis) <= Math.min(deadline, firmDeadline);
  }

  private static double micros(double millis) {
    return millis * MICROS_PER_MILLI;
  }
}
