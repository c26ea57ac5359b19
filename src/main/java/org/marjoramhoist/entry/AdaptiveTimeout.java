package org.marjoramhoist.entry;

/**
 * A timeout for calls to workers that follows the recent mean response time of all workers.
 *
 * <p>A leader that is short of CPU time reads responses late. With a fixed timeout it would treat
 * its workers as unresponsive and repeat its calls over new connections, which increases its load
 * further. Calls without a response are not counted, as the cause may be the worker. Confined to
 * one thread.
 */
final class AdaptiveTimeout {

  private static final int MEAN_FACTOR = 5;
  private static final int MAX_FACTOR = 5;

  /** The weight of the latest response in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.02;

  private double meanMicros;

  /** Records the response time of a call, less the time that the worker was asked to wait. */
  void recordResponse(long micros) {
    meanMicros += SMOOTHING_FACTOR * (micros - meanMicros);
  }

  /** Returns the moving average of the response time. */
  double meanMicros() {
    return meanMicros;
  }

  /**
   * Returns the timeout in milliseconds.
   *
   * @param minMillis the timeout while response times are normal; it grows to at most five times
   *     this
   */
  long timeoutMillis(long minMillis) {
    long scaledMillis = Math.round(MEAN_FACTOR * meanMicros / EventLoop.millisToMicros(1));
    return Math.max(minMillis, Math.min(MAX_FACTOR * minMillis, scaledMillis));
  }
}
