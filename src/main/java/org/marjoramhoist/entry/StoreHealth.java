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

  private final long since = Loop.now();
  private boolean up = true;
  private long reachedAt;

  void reached() {
    reachedAt = Loop.now();
    if (!up) {
      up = true;
      EventLog.info(LogEvent.STORE_UP, "the store answers again");
    }
  }

  void failed(Throwable error) {
    if (up) {
      up = false;
      EventLog.warn(LogEvent.STORE_DOWN, "reason={}", error.getMessage());
    }
  }

  /** Tells whether the store has answered lately and not failed since. */
  boolean isServed() {
    return up && reachedAt != 0 && Loop.now() - reachedAt < FRESH_MICROS;
  }

  /** Tells whether the store has ever answered this process. */
  boolean hasAnswered() {
    return reachedAt != 0;
  }

  /** Tells whether the store has answered since a time. */
  boolean hasAnsweredSince(long time) {
    return reachedAt >= time;
  }

  /** Returns for how long the store has not answered, in microseconds. */
  long silenceMicros() {
    return up ? 0 : Loop.now() - Math.max(since, reachedAt);
  }
}
