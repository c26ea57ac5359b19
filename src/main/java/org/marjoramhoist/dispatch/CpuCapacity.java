package org.marjoramhoist.dispatch;

import java.util.Collection;
import java.util.function.Predicate;

/**
 * The CPU capacity of a set of workers, in thousandths of a core.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param totalCpuMillis the total capacity
 * @param freeCpuMillis the capacity that no run holds
 */
record CpuCapacity(double totalCpuMillis, double freeCpuMillis) {

  /** Returns the capacity of the workers that meet a condition. */
  static CpuCapacity of(Collection<Worker> workers, Predicate<Worker> condition) {
    long total = 0;
    long free = 0;
    for (Worker worker : workers) {
      if (condition.test(worker)) {
        total += worker.info().capacity().cpuMillis();
        free += worker.freeResources.cpuMillis();
      }
    }
    return new CpuCapacity(total, free);
  }

  /**
   * Returns the free capacity of a worker that tasks can use, in thousandths of a core.
   *
   * @param smallestNeed the smallest need of a waiting task, in thousandths of a core; what is free
   *     beyond a multiple of it is too small for any task
   */
  static long usableFreeCpuMillis(Worker worker, long smallestNeed) {
    return worker.freeResources.cpuMillis() / smallestNeed * smallestNeed;
  }

  /** Returns the share of the capacity that runs hold; the total must not be 0. */
  double utilization() {
    return 1 - freeCpuMillis / totalCpuMillis;
  }
}
