package org.marjoramhoist.dispatch;

import java.util.Collection;

/**
 * The cores that are expected to become free for waiting jobs in the next two seconds.
 *
 * <p>Time is divided into intervals of equal length; what lies beyond the last one is counted
 * there. The forecast advances from interval to interval and never goes back. Confined to one
 * thread.
 */
final class RoomForecast {

  private static final int INTERVALS = 256;
  private static final double INTERVAL_MICROS = 8_000;

  /**
   * What a run that takes longer than predicted has still to run, as a share of what it has run.
   */
  private static final double OVERDUE_SHARE = 0.3;

  private final long now;
  private final double[] released = new double[INTERVALS];
  private double totalCpu;
  private double usableCpu;
  private double free;
  private int interval;

  private RoomForecast(long now) {
    this.now = now;
  }

  /** Returns the forecast for what the workers of an upstream run now. */
  static RoomForecast of(String upstream, Collection<Worker> workers, ServiceRate rate, long now) {
    RoomForecast made = new RoomForecast(now);
    for (Worker worker : workers) {
      if (worker.isSchedulable() && worker.info().upstream().equals(upstream)) {
        made.add(worker);
      }
    }
    made.free -= (1 - rate.packing()) * made.usableCpu;
    return made;
  }

  private void add(Worker worker) {
    long capacity = worker.info().capacity().cpuMillis();
    totalCpu += capacity;
    if (!worker.isUsable(now)) {
      return;
    }
    usableCpu += capacity;
    free += worker.freeResources.cpuMillis();
    for (Run run : worker.runs.values()) {
      release(endOf(run), run.need.cpuMillis());
    }
  }

  private double endOf(Run run) {
    double end = run.orderedAt + run.predictedMicros;
    return Math.max(end, now + OVERDUE_SHARE * (now - run.orderedAt));
  }

  /** Tells whether enough is known of the workers for a forecast. */
  boolean isKnown() {
    return usableCpu > 0 && usableCpu >= totalCpu / 2;
  }

  /** Returns the cores of the workers that may be given work now, in thousandths. */
  double usableCpu() {
    return usableCpu;
  }

  /** Returns the cores that are free at the time that the forecast has come to, in thousandths. */
  double free() {
    return free;
  }

  /** Returns the time that the forecast has come to. */
  double time() {
    return now + interval * INTERVAL_MICROS;
  }

  /**
   * Goes on until some cores are free.
   *
   * @param until when to stop in any case
   * @return whether they are
   */
  boolean awaitFree(double cpu, double until) {
    while (free < cpu && interval < INTERVALS - 1 && time() + INTERVAL_MICROS <= until) {
      interval++;
      free += released[interval];
    }
    return free >= cpu;
  }

  /** Reserves free cores until a time. */
  void take(double cpu, double until) {
    free -= cpu;
    release(until, cpu);
  }

  /**
   * Cancels a reservation of cores.
   *
   * @return whether they were still taken at the time that the forecast has come to
   */
  boolean giveBack(double cpu, double until) {
    int index = indexOf(until);
    if (index <= interval) {
      return false;
    }
    released[index] -= cpu;
    free += cpu;
    return true;
  }

  private void release(double at, double cpu) {
    int index = Math.max(interval + 1, indexOf(at));
    released[Math.min(INTERVALS - 1, index)] += cpu;
  }

  private int indexOf(double at) {
    double index = Math.ceil((at - now) / INTERVAL_MICROS);
    return (int) Math.max(0, Math.min(INTERVALS - 1, index));
  }
}
