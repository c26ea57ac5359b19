package org.marjoramhoist.dispatch;

/**
 * Computes the exponential decay of sums over time.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class ExponentialDecay {

  private ExponentialDecay() {}

  /**
   * Returns the factor by which to multiply a sum to let it decay from one time to another.
   *
   * @param from the earlier time, in microseconds
   * @param to the later time, in microseconds
   * @param timeConstantMicros the time after which a sum has decayed to 1/e
   */
  static double factor(long from, long to, double timeConstantMicros) {
    return Math.exp((from - to) / timeConstantMicros);
  }
}
