package org.marjoramhoist.dispatch;

import java.util.Collection;

/**
 * Forecast of the cores that become free for waiting jobs within the next two seconds.
 *
 * <p>Time is divided into intervals of equal length. Cores that become free later are counted in
 * the last interval. The forecast only advances forward. Confined to one thread.
 */
final class CapacityForecast {

  private static final int INTERVALS = 256;
  private static final double INTERVAL_MICROS = 8_000;

  /**
   * The expected remaining time of a run that exceeded its predicted run time, as a fraction of the
   * elapsed time.
   */
  private static final double OVERRUN_SHARE = 0.3;

  private final long now;
  private final double[] releasedCpuMillis = new double[INTERVALS];
  private double totalCpuMillis;
  private double usableCpuMillis;
  private double freeCpuMillis;
  private int currentInterval;

  private CapacityForecast(long now) {
    this.now = now;
  }

  /** Creates a forecast from the current runs on the workers of an upstream. */
  static CapacityForecast forUpstream(
      String upstream, Collection<Worker> workers, ServiceRate rate, long now) {
    CapacityForecast forecast = new CapacityForecast(now);
    for (Worker worker : workers) {
      if (worker.isSchedulable() && worker.info().upstream().equals(upstream)) {
        forecast.add(worker);
      }
    }
    forecast.freeCpuMillis -= (1 - rate.maxUtilization()) * forecast.usableCpuMillis;
    return forecast;
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

  /**
   * Returns whether at least half of the capacity is on usable workers, as required for a forecast.
   */
  boolean isKnown() {
    return usableCpuMillis > 0 && usableCpuMillis >= totalCpuMillis / 2;
  }

  /** Returns the cores of the usable workers, in thousandths. */
  double usableCpuMillis() {
    return usableCpuMillis;
  }

  /** Returns the cores that are free at the current time of the forecast, in thousandths. */
  double freeCpuMillis() {
    return freeCpuMillis;
  }

  /** Returns the time to which the forecast has advanced. */
  double currentTime() {
    return now + currentInterval * INTERVAL_MICROS;
  }

  /**
   * Advances the forecast until the given cores are free.
   *
   * @param until the time at which to stop in any case
   * @return whether the cores are free
   */
  boolean advanceUntilFree(double cpuMillis, double until) {
    while (freeCpuMillis < cpuMillis
        && currentInterval < INTERVALS - 1
        && currentTime() + INTERVAL_MICROS <= until) {
      currentInterval++;
      freeCpuMillis += releasedCpuMillis[currentInterval];
    }
    return freeCpuMillis >= cpuMillis;
  }

  /** Reserves free cores until the given time. */
  void reserve(double cpuMillis, double until) {
    freeCpuMillis -= cpuMillis;
    addRelease(until, cpuMillis);
  }

  /**
   * Cancels a reservation.
   *
   * @return false if the reservation ended before the current time of the forecast
   */
  boolean cancelReservation(double cpuMillis, double until) {
    int index = indexOf(until);
    if (index <= currentInterval) {
      return false;
    }
    releasedCpuMillis[index] -= cpuMillis;
    freeCpuMillis += cpuMillis;
    return true;
  }

  private void addRelease(double at, double cpuMillis) {
    int index = Math.max(currentInterval + 1, indexOf(at));
    releasedCpuMillis[Math.min(INTERVALS - 1, index)] += cpuMillis;
  }

  private int indexOf(double at) {
    double index = Math.ceil((at - now) / INTERVAL_MICROS);
    return (int) Math.max(0, Math.min(INTERVALS - 1, index));
  }
}
