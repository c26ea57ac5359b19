package org.marjoramhoist.dispatch;

/**
 * How much time a job has until it can't be in time any more.
 *
 * <p>The objective of a job grows with its true work, which is not known. Each result is the worst
 * case while the true work is within {@link #MAX_WORK_ERROR_FACTOR} of the prediction in either
 * direction: with less work the objective ends earlier, with more work a slow worker takes longer.
 *
 * <p>Confined to one thread.
 */
final class SlackCalculator {

  /** The usual bound of the ratio between the true work and its prediction, either way. */
  private static final double MAX_WORK_ERROR_FACTOR = 1.5;

  /** What orders, answers and reports take, in microseconds. */
  private static final double MESSAGING_MICROS = 10_000;

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
  double maxSlowdown(Task task, double micros, long now) {
    Job job = task.job;
    double spare = fixedSlackMicros(job, now);
    double scaled = spare >= 0 ? spare / MAX_WORK_ERROR_FACTOR : spare * MAX_WORK_ERROR_FACTOR;
    return (order.proportionalObjectiveMicros(job) - successorMicros(job, micros) + scaled)
        / micros;
  }

  /** Returns the same as {@link #maxSlowdown} for a job whose prediction is exact. */
  double expectedMaxSlowdown(Task task, double micros, long now) {
    Job job = task.job;
    return (order.proportionalObjectiveMicros(job)
            - successorMicros(job, micros)
            + fixedSlackMicros(job, now))
        / micros;
  }

  /**
   * Returns when a task must start for its job to be in time.
   *
   * @param micros its expected run time on an average worker
   * @param factor how many times as long as that it runs on the worker
   */
  double latestStart(Task task, double micros, double factor, long now) {
    Job job = task.job;
    double ahead =
        order.proportionalObjectiveMicros(job) - successorMicros(job, micros) - factor * micros;
    double scaled = ahead >= 0 ? ahead / MAX_WORK_ERROR_FACTOR : ahead * MAX_WORK_ERROR_FACTOR;
    return now + fixedSlackMicros(job, now) + scaled;
  }

  /** Returns what is left of the part of the objective that does not grow with the work. */
  private static double fixedSlackMicros(Job job, long now) {
    double fixed = job.requestClass().objectiveMillis() * MICROS_PER_MILLI;
    return fixed - MESSAGING_MICROS - (now - job.arrivedAt);
  }

  /** Returns the expected run time of what comes after a task. */
  private double successorMicros(Job job, double micros) {
    return Math.max(0, order.criticalPathMicros(job) - micros);
  }
}
