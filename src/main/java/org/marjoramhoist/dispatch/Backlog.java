package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The work that waits, as the time that all workers together need for it.
 *
 * <p>What arrives later is left out, so it rather tells too little. Confined to one thread.
 */
final class Backlog {

  private final QueueOrder order;
  private double totalMicros;
  private double cpuMillis;

  Backlog(QueueOrder order) {
    this.order = order;
  }

  /**
   * Measures the work that waits.
   *
   * @param waiting the places of the jobs in their order
   * @return the ephemeral jobs without a started task that would end only when that is of no use,
   *     even if no other job came
   */
  List<Job> update(List<QueueOrder.Position> waiting, Collection<Worker> workers, long now) {
    double capacity = CpuCapacity.of(workers, Worker::isSchedulable).totalCpuMillis();
    cpuMillis = capacity;
    totalMicros = 0;
    List<Job> hopeless = new ArrayList<>();
    if (capacity == 0) {
      return hopeless;
    }
    for (QueueOrder.Position place : waiting) {
      Job job = place.job();
      boolean useless = now + totalMicros + order.criticalPathMicros(job) > order.firmDeadline(job);
      if (place.late() && useless && !job.started && !job.isDurable()) {
        hopeless.add(job);
      } else {
        totalMicros += order.waitingCpuMicros(job) / capacity;
      }
    }
    return hopeless;
  }

  /** Returns how long all workers together need for what waited when it was measured. */
  double totalMicros() {
    return totalMicros;
  }

  /** Returns what the workers that may take work had then, in thousandths of a core. */
  double cpuMillis() {
    return cpuMillis;
  }
}
