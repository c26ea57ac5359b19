package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The work of the waiting jobs, expressed as the time that all workers together need for it. Jobs
 * for which capacity is free do not wait. A worker that has not reported yet counts as free.
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
    double free = usableFreeCpuMillis(queue, workers);
    for (QueueOrder.Position position : queue) {
      Job job = position.job();
      boolean startsNow = job.minCpuMillis() <= free && job.waitingCpuMillis() <= free;
      double waitMicros = startsNow ? 0 : totalMicros;
      boolean isTooLate =
          now + waitMicros + order.criticalPathMicros(job) > order.firmDeadline(job);
      if (position.late() && isTooLate && !job.started && !job.isDurable()) {
        infeasible.add(job);
      } else if (startsNow) {
        free -= job.waitingCpuMillis();
      } else {
        totalMicros += order.waitingWork(job) / capacity;
      }
    }
    return infeasible;
  }

  /**
   * Returns the free capacity that tasks can use, in thousandths of a core: what is free on a
   * worker beyond a multiple of the smallest need is too small for any.
   */
  private static double usableFreeCpuMillis(
      List<QueueOrder.Position> queue, Collection<Worker> workers) {
    long smallestNeed = Math.max(1, WaitingQueue.minCpuMillis(queue));
    return workers.stream()
        .filter(Worker::isSchedulable)
        .mapToLong(worker -> worker.placesFor(smallestNeed) * smallestNeed)
        .sum();
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
