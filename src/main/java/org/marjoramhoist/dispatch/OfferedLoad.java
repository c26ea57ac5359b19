package org.marjoramhoist.dispatch;

/**
 * The recent rate of arriving work, with exponential decay.
 *
 * <p>Confined to one thread.
 */
final class OfferedLoad {

  private static final double TIME_CONSTANT_MICROS = 500_000;

  private double sum;
  private long decayedAt;

  /**
   * Records work, in thousandths of a core times microseconds.
   *
   * @param arrivedAt when it arrived at an entry host, which may have waited for a leader
   */
  void add(double work, long arrivedAt, long now) {
    decay(now);
    sum += work * ExponentialDecay.factor(arrivedAt, now, TIME_CONSTANT_MICROS);
  }

  /** Returns the recent mean rate of arriving work, in thousandths of a core. */
  double rate(long now) {
    decay(now);
    return sum / TIME_CONSTANT_MICROS;
  }

  private void decay(long now) {
    sum *= ExponentialDecay.factor(decayedAt, now, TIME_CONSTANT_MICROS);
    decayedAt = now;
  }
}
