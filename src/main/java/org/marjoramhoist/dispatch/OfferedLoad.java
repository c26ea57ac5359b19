package org.marjoramhoist.dispatch;

/**
 * The rate at which work lately came in, aged exponentially.
 *
 * <p>Confined to one thread.
 */
final class OfferedLoad {

  /** The time constant of the aging. */
  private static final double TIME_CONSTANT_MICROS = 500_000;

  private double sum;
  private long decayedAt;

  /** Takes in work, in thousandths of core-microseconds. */
  void add(double work, long now) {
    decay(now);
    sum += work;
  }

  /** Returns the mean rate at which work lately came in, in thousandths of cores. */
  double rate(long now) {
    decay(now);
    return sum / TIME_CONSTANT_MICROS;
  }

  private void decay(long now) {
    sum *= ExponentialDecay.factor(decayedAt, now, TIME_CONSTANT_MICROS);
    decayedAt = now;
  }
}
