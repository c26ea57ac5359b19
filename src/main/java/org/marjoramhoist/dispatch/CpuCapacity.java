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

  /** Returns the share of the capacity that runs hold; the total must not be 0. */
  double utilization() {
    return 1 - freeCpuMillis / totalCpuMillis;
  }
}
