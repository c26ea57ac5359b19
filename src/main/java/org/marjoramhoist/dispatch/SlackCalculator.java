package org.marjoramhoist.dispatch;

/**
 * How much time a job has until it can't be in time any more.
 *
 * <p>The objective of a job grows with its true work, which is not known. Each result is the worst
 * case while the true work is within {@link #WORK_ERROR} of the prediction in either direction:
 * with less work the objective ends earlier, with more work a slow worker takes longer.
 *
 * <p>Confined to one thread.
 */
final class SlackCalculator {

  /** The usual bound of the ratio between the true work and its prediction, either way. */
  private static final double WORK_ERROR = 1.5;

  /** What orders, answers and reports take, in microseconds. */
  private static final double MARGIN_MICROS = 10_000;

  private static final double MICROS_PER_MILLI = 1_000.0;

  private final QueueOrder order;

  SlackCalculator(QueueOrder order) {
    this.order = order;
  }

  /**
   * Returns how many times as long as on an average worker a task that starts now may run for its
   * job to be in time.
   *
   * @param micros its expected run time on an average worker
   */
  double longestFactor(Task task, double micros, long now) {
    Job job = task.job;
    double spare = spareMicros(job, now);
    double scaled = spare >= 0 ? spare / WORK_ERROR : spare * WORK_ERROR;
    return (order.stretchMicros(job) - laterMicros(job, micros) + scaled) / micros;
  }

  /** Returns the same as {@link #longestFactor} for a job whose prediction is exact. */
  double likelyFactor(Task task, double micros, long now) {
    Job job = task.job;
    return (order.stretchMicros(job) - laterMicros(job, micros) + spareMicros(job, now)) / micros;
  }

  /**
   * Returns when a task must start for its job to be in time.
   *
   * @param micros its expected run time on an average worker
   * @param factor how many times as long as that it runs on the worker
   */
  double lastStart(Task task, double micros, double factor, long now) {
    Job job = task.job;
    double ahead = order.stretchMicros(job) - laterMicros(job, micros) - factor * micros;
    double scaled = ahead >= 0 ? ahead / WORK_ERROR : ahead * WORK_ERROR;
    return now + spareMicros(job, now) + scaled;
  }

  /** Returns what is left of the part of the objective that does not grow with the work. */
  private static double spareMicros(Job job, long now) {
    double fixed = job.requestClass().objectiveMillis() * MICROS_PER_MILLI;
    return fixed - MARGIN_MICROS - (now - job.arrivedAt);
  }

  /** Returns the expected run time of what comes after a task. */
  private double laterMicros(Job job, double micros) {
    return Math.max(0, order.chainMicros(job) - micros);
  }
}
