package org.marjoramhoist.dispatch;

/**
 * Calculates the slack of jobs: how much time is left until they can no longer meet their
 * objectives.
 *
 * <p>The objective of a job grows with its true work, which is unknown. Unless stated otherwise,
 * results are the worst case for true work within a factor of {@link #MAX_WORK_ERROR_FACTOR} of the
 * prediction in either direction: with less work the objective ends earlier, and with more work a
 * slow worker takes longer.
 *
 * <p>Confined to one thread.
 */
final class SlackCalculator {

  /** The usual maximum ratio between the true work and the predicted work, in either direction. */
  private static final double MAX_WORK_ERROR_FACTOR = 1.5;

  /** The time taken by orders, replies and reports. */
  private static final double MESSAGING_MICROS = 10_000;

  private static final double MICROS_PER_MILLI = 1_000.0;

  private final QueueOrder order;

  SlackCalculator(QueueOrder order) {
    this.order = order;
  }

  /**
   * Returns the maximum slowdown, relative to an average worker, with which a task that starts now
   * lets its job meet the objective.
   *
   * @param micros the predicted run time of the task on an average worker
   */
  double maxSlowdown(Task task, double micros, long now) {
    Job job = task.job;
    double fixedSlack = fixedSlackMicros(job, now);
    double worstCase =
        fixedSlack >= 0 ? fixedSlack / MAX_WORK_ERROR_FACTOR : fixedSlack * MAX_WORK_ERROR_FACTOR;
    return (order.proportionalObjectiveMicros(job) - successorMicros(job, micros) + worstCase)
        / micros;
  }

  /** Like {@link #maxSlowdown}, but assumes that the prediction is exact. */
  double expectedMaxSlowdown(Task task, double micros, long now) {
    Job job = task.job;
    return (order.proportionalObjectiveMicros(job)
            - successorMicros(job, micros)
            + fixedSlackMicros(job, now))
        / micros;
  }

  /**
   * Returns the latest start of a task with which its job meets the objective.
   *
   * @param micros the predicted run time of the task on an average worker
   * @param slowdown the predicted run time on the worker, divided by that on an average worker
   */
  double latestStart(Task task, double micros, double slowdown, long now) {
    Job job = task.job;
    double variableSlack =
        order.proportionalObjectiveMicros(job) - successorMicros(job, micros) - slowdown * micros;
    double worstCase =
        variableSlack >= 0
            ? variableSlack / MAX_WORK_ERROR_FACTOR
            : variableSlack * MAX_WORK_ERROR_FACTOR;
    return now + fixedSlackMicros(job, now) + worstCase;
  }

  /**
   * Returns the time left in the part of the objective that does not depend on the work of the job.
   */
  private static double fixedSlackMicros(Job job, long now) {
    double fixed = job.requestClass().objectiveMillis() * MICROS_PER_MILLI;
    return fixed - MESSAGING_MICROS - (now - job.arrivedAt);
  }

  /** Returns the predicted run time of the part of the critical path that follows a task. */
  private double successorMicros(Job job, double micros) {
    return Math.max(0, order.criticalPathMicros(job) - micros);
  }
}
