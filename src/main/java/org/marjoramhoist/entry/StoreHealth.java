package org.marjoramhoist.entry;

import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;

/**
 * Tracks whether the store responds to this host, and logs changes.
 *
 * <p>Confined to the event loop's thread.
 */
final class StoreHealth {

  /** How long after its last response the store counts as available. */
  private static final long MAX_SUCCESS_AGE_MICROS = 2_600_000;

  private final long startedAt = EventLoop.now();
  private boolean up = true;
  private long lastSuccessAt;

  void recordSuccess() {
    lastSuccessAt = EventLoop.now();
    if (!up) {
      up = true;
      EventLog.info(LogEvent.STORE_UP, "the store responds again");
    }
  }

  void recordFailure(Throwable error) {
    if (up) {
      up = false;
      EventLog.warn(LogEvent.STORE_DOWN, "reason={}", error.getMessage());
    }
  }

  /** Returns whether the store responded recently and has not failed since. */
  boolean isAvailable() {
    return up && lastSuccessAt != 0 && EventLoop.now() - lastSuccessAt < MAX_SUCCESS_AGE_MICROS;
  }

  /** Returns whether the store has responded since this process started. */
  boolean hasEverResponded() {
    return lastSuccessAt != 0;
  }

  /** Returns whether the store has responded since the given time. */
  boolean hasRespondedSince(long time) {
    return lastSuccessAt >= time;
  }

  /** Returns the duration of the current store outage in microseconds; 0 if the store is up. */
  long outageMicros() {
    return up ? 0 : EventLoop.now() - Math.max(startedAt, lastSuccessAt);
  }
}
