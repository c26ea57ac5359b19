package org.marjoramhoist.dispatch;

/**
 * Calculates the slack of jobs: how much time is left until they can no longer meet their
 * objectives.
 *
 * <p>The objective of a job, the time after its arrival by which it should end, grows with its true
 * work, which is unknown. Unless stated otherwise, results are the worst case for true work within
 * a factor of {@link #MAX_WORK_ERROR_FACTOR} of the prediction in either direction: less work makes
 * the objective shorter, and more work takes longer on a slow worker.
 *
 * <p>Confined to one thread.
 */
final class SlackCalculator {

  /**
   * The assumed maximum ratio between the true work and the predicted work, in either direction.
   * Prediction errors are usually smaller.
   */
  private static final double MAX_WORK_ERROR_FACTOR = 1.5;

  /** The part of the objective that is reserved for orders, replies and reports. */
  private static final double MESSAGING_ALLOWANCE_MICROS = 10_000;

  private static final double MICROS_PER_MILLI = 1_000.0;

  private final QueueOrder order;

  SlackCalculator(QueueOrder order) {
    this.order = order;
  }

  /**
   * Returns the maximum slowdown, relative to an average worker, with which a task that starts now
   * lets its job meet the objective.
   *
   * @param predictedMicros the predicted run time of the task on an average worker
   */
  double maxSlowdown(Task task, double predictedMicros, long now) {
    Job job = task.job;
    double fixedSlack = fixedSlackMicros(job, now);
    double worstCaseSlack =
        fixedSlack >= 0 ? fixedSlack / MAX_WORK_ERROR_FACTOR : fixedSlack * MAX_WORK_ERROR_FACTOR;
    return (order.proportionalObjectiveMicros(job)
            - successorMicros(job, predictedMicros)
            + worstCaseSlack)
        / predictedMicros;
  }

  /** Like {@link #maxSlowdown}, but assumes that the prediction is exact. */
  double expectedMaxSlowdown(Task task, double predictedMicros, long now) {
    Job job = task.job;
    return (order.proportionalObjectiveMicros(job)
            - successorMicros(job, predictedMicros)
            + fixedSlackMicros(job, now))
        / predictedMicros;
  }

  /**
   * Returns the latest time at which a task can start for its job to meet the objective.
   *
   * @param predictedMicros the predicted run time of the task on an average worker
   * @param slowdown the predicted run time on the worker, divided by that on an average worker
   */
  double latestStart(Task task, double predictedMicros, double slowdown, long now) {
    Job job = task.job;
    double proportionalSlack =
        order.proportionalObjectiveMicros(job)
            - successorMicros(job, predictedMicros)
            - slowdown * predictedMicros;
    double worstCase =
        proportionalSlack >= 0
            ? proportionalSlack / MAX_WORK_ERROR_FACTOR
            : proportionalSlack * MAX_WORK_ERROR_FACTOR;
    return now + fixedSlackMicros(job, now) + worstCase;
  }

  /**
   * Returns the time left of the fixed part of the objective, which does not depend on the work of
   * the job.
   */
  private static double fixedSlackMicros(Job job, long now) {
    double fixed = job.requestClass().objectiveMillis() * MICROS_PER_MILLI;
    return fixed - MESSAGING_ALLOWANCE_MICROS - (now - job.arrivedAt);
  }

  /** Returns the predicted run time of the part of the critical path that follows a task. */
  private double successorMicros(Job job, double predictedMicros) {
    return Math.max(0, order.criticalPathMicros(job) - predictedMicros);
  }
}
