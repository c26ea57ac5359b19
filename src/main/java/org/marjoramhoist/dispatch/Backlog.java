package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The work of the waiting jobs, expressed as the time that all workers together need for it.
 *
 * <p>Work that arrives later is not included, so the value is a lower bound on the wait. Confined
 * to one thread.
 */
final class Backlog {

  private final QueueOrder order;
  private double totalMicros;
  private double cpuMillis;

  Backlog(QueueOrder order) {
    this.order = order;
  }

  /**
   * Recomputes the backlog.
   *
   * @param queue the positions of the waiting jobs, in order
   * @return the ephemeral jobs without a started task that would end after their firm deadline even
   *     if no further job arrived
   */
  List<Job> update(List<QueueOrder.Position> queue, Collection<Worker> workers, long now) {
    double capacity = CpuCapacity.of(workers, Worker::isSchedulable).totalCpuMillis();
    cpuMillis = capacity;
    totalMicros = 0;
    List<Job> infeasible = new ArrayList<>();
    if (capacity == 0) {
      return infeasible;
    }
    for (QueueOrder.Position position : queue) {
      Job job = position.job();
      boolean isTooLate =
          now + totalMicros + order.criticalPathMicros(job) > order.firmDeadline(job);
      if (position.late() && isTooLate && !job.started && !job.isDurable()) {
        infeasible.add(job);
      } else {
        totalMicros += order.waitingWork(job) / capacity;
      }
    }
    return infeasible;
  }

  /**
   * Returns the time that all workers together need for the jobs that were waiting at the last
   * update.
   */
  double totalMicros() {
    return totalMicros;
  }

  /**
   * Returns the capacity of the schedulable workers at the last update, in thousandths of a core.
   */
  double cpuMillis() {
    return cpuMillis;
  }
}
