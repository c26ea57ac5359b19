package org.marjoramhoist.dispatch;

/**
 * An estimate of a worker's steady clock from its readings.
 *
 * <p>Invariant: {@link #hasCertainlyPassed} is true only if the worker's clock has passed the given
 * time, for any clock that runs at most 2% slow. Confined to one thread.
 */
final class WorkerClock {

  private static final double MIN_RATE = 0.98;
  private static final double TOLERANCE_MILLIS = 20;
  private static final double MICROS_PER_MILLI = 1_000.0;

  private boolean hasReading;
  private long clockMillis;
  private long sentAt;
  private long receivedAt;

  /**
   * Records a reading.
   *
   * @param clock the worker's clock, in milliseconds; 0 if it is unknown
   * @param sent when the call that returned the reading was sent
   * @param received when its response arrived
   */
  void update(long clock, long sent, long received) {
    if (clock <= 0) {
      return;
    }
    hasReading = true;
    clockMillis = clock;
    sentAt = sent;
    receivedAt = received;
  }

  /** Tells whether a reading cannot be of the clock that was read before, as after a restart. */
  boolean isInconsistentWith(long clock, long sent, long received) {
    if (!hasReading || clock <= 0) {
      return false;
    }
    double elapsed = (received - receivedAt) / MICROS_PER_MILLI;
    double allowed = TOLERANCE_MILLIS + (1 - MIN_RATE) * elapsed;
    double roundTrips = (received - sent + receivedAt - sentAt) / MICROS_PER_MILLI;
    return Math.abs(clock - clockMillis - elapsed) > allowed + roundTrips;
  }

  boolean isKnown() {
    return hasReading;
  }

  /** Discards the reading, as after a restart of the worker. */
  void reset() {
    hasReading = false;
  }

  /** Returns the estimated time on the worker's clock, in milliseconds. */
  long estimate(long now) {
    long middle = (sentAt + receivedAt) / 2;
    return clockMillis + (long) ((now - middle) / MICROS_PER_MILLI);
  }

  /** Tells whether the worker's clock has certainly passed a time. */
  boolean hasCertainlyPassed(long millis, long now) {
    return hasReading && clockMillis + (now - receivedAt) / MICROS_PER_MILLI * MIN_RATE > millis;
  }
}
