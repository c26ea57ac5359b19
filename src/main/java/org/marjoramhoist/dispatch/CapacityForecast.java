package org.marjoramhoist.dispatch;

import java.util.Collection;

/**
 * The cores that are expected to become free for waiting jobs in the next two seconds.
 *
 * <p>Time is divided into intervals of equal length; what lies beyond the last one is counted
 * there. The forecast advances from interval to interval and never goes back. Confined to one
 * thread.
 */
final class CapacityForecast {

  private static final int INTERVALS = 256;
  private static final double INTERVAL_MICROS = 8_000;

  /**
   * What a run that takes longer than predicted has still to run, as a share of what it has run.
   */
  private static final double OVERRUN_SHARE = 0.3;

  private final long now;
  private final double[] released = new double[INTERVALS];
  private double totalCpuMillis;
  private double usableCpuMillis;
  private double freeCpuMillis;
  private int currentInterval;

  private CapacityForecast(long now) {
    this.now = now;
  }

  /** Returns the forecast for what the workers of an upstream run now. */
  static CapacityForecast forUpstream(
      String upstream, Collection<Worker> workers, ServiceRate rate, long now) {
    CapacityForecast made = new CapacityForecast(now);
    for (Worker worker : workers) {
      if (worker.isSchedulable() && worker.info().upstream().equals(upstream)) {
        made.add(worker);
      }
    }
    made.freeCpuMillis -= (1 - rate.maxUtilization()) * made.usableCpuMillis;
    return made;
  }

  private void add(Worker worker) {
    long capacity = worker.info().capacity().cpuMillis();
    totalCpuMillis += capacity;
    if (!worker.isUsable(now)) {
      return;
    }
    usableCpuMillis += capacity;
    freeCpuMillis += worker.freeResources.cpuMillis();
    for (Run run : worker.runs.values()) {
      addRelease(expectedEnd(run), run.need.cpuMillis());
    }
  }

  private double expectedEnd(Run run) {
    double end = run.orderedAt + run.predictedMicros;
    return Math.max(end, now + OVERRUN_SHARE * (now - run.orderedAt));
  }

  /** Tells whether enough is known of the workers for a forecast. */
  boolean isKnown() {
    return usableCpuMillis > 0 && usableCpuMillis >= totalCpuMillis / 2;
  }

  /** Returns the cores of the workers that may be given work now, in thousandths. */
  double usableCpuMillis() {
    return usableCpuMillis;
  }

  /** Returns the cores that are free at the time that the forecast has come to, in thousandths. */
  double freeCpuMillis() {
    return freeCpuMillis;
  }

  /** Returns the time that the forecast has come to. */
  double currentTime() {
    return now + currentInterval * INTERVAL_MICROS;
  }

  /**
   * Goes on until some cores are free.
   *
   * @param until when to stop in any case
   * @return whether they are
   */
  boolean advanceUntilFree(double cpu, double until) {
    while (freeCpuMillis < cpu
        && currentInterval < INTERVALS - 1
        && currentTime() + INTERVAL_MICROS <= until) {
      currentInterval++;
      freeCpuMillis += released[currentInterval];
    }
    return freeCpuMillis >= cpu;
  }

  /** Reserves free cores until a time. */
  void reserve(double cpu, double until) {
    freeCpuMillis -= cpu;
    addRelease(until, cpu);
  }

  /**
   * Cancels a reservation of cores.
   *
   * @return whether they were still taken at the time that the forecast has come to
   */
  boolean cancelReservation(double cpu, double until) {
    int index = indexOf(until);
    if (index <= currentInterval) {
      return false;
    }
    released[index] -= cpu;
    freeCpuMillis += cpu;
    return true;
  }

  private void addRelease(double at, double cpu) {
    int index = Math.max(currentInterval + 1, indexOf(at));
    released[Math.min(INTERVALS - 1, index)] += cpu;
  }

  private int indexOf(double at) {
    double index = Math.ceil((at - now) / INTERVAL_MICROS);
    return (int) Math.max(0, Math.min(INTERVALS - 1, index));
  }
}
