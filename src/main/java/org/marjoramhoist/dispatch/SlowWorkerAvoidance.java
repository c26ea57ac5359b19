package org.marjoramhoist.dispatch;

import java.util.Collection;

/**
 * Decides whether a task waits for another worker rather than start on one that is currently slow.
 *
 * <p>It waits if its job would miss its objective on the slow worker but can still meet it
 * elsewhere, or if the result would come too late to be of use. Invariant: no task waits because of
 * this if more than a fixed share of the workers are slow, as then the predictions are wrong rather
 * than the workers slow. Confined to one thread.
 */
final class SlowWorkerAvoidance {

  /** The largest share of the workers that is avoided. */
  private static final double MAX_SLOW_SHARE = 0.4;

  /** Run times are often overestimated by as much, so that a job may be in time elsewhere. */
  private static final double OPTIMISM = 0.6;

  private final QueueOrder order;
  private boolean active = true;

  SlowWorkerAvoidance(QueueOrder order) {
    this.order = order;
  }

  /** Updates the share of workers that are slow. */
  void update(Collection<Worker> workers) {
    int slow = 0;
    for (Worker worker : workers) {
      slow += worker.observedSlowness > 1 ? 1 : 0;
    }
    active = slow <= MAX_SLOW_SHARE * workers.size();
  }

  /**
   * Returns whether a task should not start on a worker now.
   *
   * @param predictedMicros the predicted run time on the worker
   */
  boolean avoids(Task task, Worker worker, double predictedMicros, long now) {
    Job job = task.job;
    if (!active || worker.observedSlowness <= 1 || job.isDurable()) {
      return false;
    }
    double objectiveEnd = job.arrivedAt + order.objectiveMicros(job);
    double end = now + predictedMicros;
    if (end <= objectiveEnd) {
      return false;
    }
    double endElsewhere = now + OPTIMISM * predictedMicros / worker.observedSlowness;
    return endElsewhere <= objectiveEnd || end > order.firmDeadline(job);
  }
}
