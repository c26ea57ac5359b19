package org.marjoramhoist.dispatch;

/**
 * The rate at which work lately came in, aged exponentially.
 *
 * <p>Confined to one thread.
 */
final class OfferedWork {

  private static final double MEMORY_MICROS = 500_000;

  private double sum;
  private long at;

  /** Takes in work, in thousandths of core-microseconds. */
  void add(double work, long now) {
    age(now);
    sum += work;
  }

  /** Returns the work that came in by time, in thousandths of cores. */
  double rate(long now) {
    age(now);
    return sum / MEMORY_MICROS;
  }

  private void age(long now) {
    sum *= Math.exp((at - now) / MEMORY_MICROS);
    at = now;
  }
}
