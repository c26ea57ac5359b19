package org.marjoramhoist.dispatch;

import java.util.Collection;
import java.util.function.Predicate;

/**
 * The cores of some workers, in thousandths.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param totalCpuMillis all cores
 * @param freeCpuMillis the cores that no run holds
 */
record CpuCapacity(double totalCpuMillis, double freeCpuMillis) {

  /** Returns the cores of the workers that meet a condition. */
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

  /** Returns the share of the cores that runs hold; there must be any cores. */
  double utilization() {
    return 1 - freeCpuMillis / totalCpuMillis;
  }
}
