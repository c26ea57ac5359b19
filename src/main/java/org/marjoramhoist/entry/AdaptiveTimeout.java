package org.marjoramhoist.entry;

/**
 * How long a leader waits for workers to answer, by how long they all lately took.
 *
 * <p>A leader that is short of processor time reads answers late. With a fixed time-out it would
 * take its workers for silent, repeat its calls over new connections, and have even less time.
 * Calls without an answer tell nothing of that, as workers may be silent for reasons of their own.
 * Confined to one thread.
 */
final class AdaptiveTimeout {

  private static final int MEAN_FACTOR = 5;
  private static final int MAX_FACTOR = 5;

  /** The weight of a call in the mean of those before it. */
  private static final double SMOOTHING_FACTOR = 0.02;

  private double meanMicros;

  /** Takes in how long a call took that was answered, beyond what it was asked to wait. */
  void recordResponse(long micros) {
    meanMicros += SMOOTHING_FACTOR * (micros - meanMicros);
  }

  /** Returns how long calls lately took on average. */
  double meanMicros() {
    return meanMicros;
  }

  /**
   * Returns a time-out in milliseconds.
   *
   * @param least the time-out if workers answer as usual
   */
  long timeoutMillis(long least) {
    long fitting = Math.round(MEAN_FACTOR * meanMicros / EventLoop.millisToMicros(1));
    return Math.max(least, Math.min(MAX_FACTOR * least, fitting));
  }
}
