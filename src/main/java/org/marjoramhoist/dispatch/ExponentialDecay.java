package org.marjoramhoist.dispatch;

/**
 * Exponential aging of sums.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class ExponentialDecay {

  private ExponentialDecay() {}

  /**
   * Returns what is left at a time of a sum of 1 at an earlier time.
   *
   * @param constantMicros the time after which 1/e is left
   */
  static double factor(long from, long to, double constantMicros) {
    return Math.exp((from - to) / constantMicros);
  }
}
