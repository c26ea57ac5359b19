package org.marjoramhoist.entry;

import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;

/**
 * Whether the store answers this host; logs when that changes.
 *
 * <p>Confined to the loop's thread.
 */
final class StoreHealth {

  private static final long FRESH_MICROS = 2_600_000;

  private final long since = EventLoop.now();
  private boolean up = true;
  private long reachedAt;

  void recordSuccess() {
    reachedAt = EventLoop.now();
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
    return up && reachedAt != 0 && EventLoop.now() - reachedAt < FRESH_MICROS;
  }

  /** Tells whether the store has ever answered this process. */
  boolean hasEverResponded() {
    return reachedAt != 0;
  }

  /** Tells whether the store has answered since a time. */
  boolean hasRespondedSince(long time) {
    return reachedAt >= time;
  }

  /** Returns for how long the store has not answered, in microseconds. */
  long outageMicros() {
    return up ? 0 : EventLoop.now() - Math.max(since, reachedAt);
  }
}
