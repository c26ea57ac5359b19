package org.marjoramhoist.entry;

import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;

/**
 * Whether the store answers this host; logs when that changes.
 *
 * <p>Confined to the loop's thread.
 */
final class StoreHealth {

  private static final long FRESHNESS_MICROS = 2_600_000;

  private final long startedAt = EventLoop.now();
  private boolean up = true;
  private long lastSuccessAt;

  void recordSuccess() {
    lastSuccessAt = EventLoop.now();
    if (!up) {
      up = true;
      EventLog.info(LogEvent.STORE_UP, "the store answers again");
    }
  }

  void recordFailure(Throwable error) {
    if (up) {
      up = false;
      EventLog.warn(LogEvent.STORE_DOWN, "reason={}", error.getMessage());
    }
  }

  /** Tells whether the store has answered lately and not failed since. */
  boolean isAvailable() {
    return up && lastSuccessAt != 0 && EventLoop.now() - lastSuccessAt < FRESHNESS_MICROS;
  }

  /** Tells whether the store has ever answered this process. */
  boolean hasEverResponded() {
    return lastSuccessAt != 0;
  }

  /** Tells whether the store has answered since a time. */
  boolean hasRespondedSince(long time) {
    return lastSuccessAt >= time;
  }

  /** Returns for how long the store has not answered, in microseconds. */
  long outageMicros() {
    return up ? 0 : EventLoop.now() - Math.max(startedAt, lastSuccessAt);
  }
}
