package org.marjoramhoist.dispatch;

/**
 * Exponential decay of sums.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class ExponentialDecay {

  private ExponentialDecay() {}

  /**
   * Returns the factor by which a sum decays between two times.
   *
   * @param timeConstantMicros the time after which a sum has decayed to 1/e
   */
  static double factor(long from, long to, double timeConstantMicros) {
    return Math.exp((from - to) / timeConstantMicros);
  }
}
