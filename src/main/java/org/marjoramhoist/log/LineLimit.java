package org.marjoramhoist.log;

import java.util.EnumMap;
import java.util.Map;

/**
 * Bounds the lines of each kind of event that clients cause.
 *
 * <p>Invariant: of one event, no more than the bound are admitted in each second. Safe for use by
 * several threads.
 */
final class LineLimit {

  private static final long SECOND_NANOS = 1_000_000_000;

  private static final class Second {
    private long endsAt;
    private int admitted;
    private long left;
  }

  private final Map<LogEvent, Second> seconds = new EnumMap<>(LogEvent.class);
  private int linesPerSecond;
  private long leftOut;

  LineLimit(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  synchronized void setLinesPerSecond(int lines) {
    linesPerSecond = lines;
  }

  /** Returns how many lines were left out in all. */
  synchronized long leftOut() {
    return leftOut;
  }

  /**
   * Returns how many lines of an event were left out since the last one that was admitted; -1 if
   * this one is to be left out too.
   *
   * @param now the time on the monotonic clock, in nanoseconds
   */
  synchronized long admit(LogEvent event, long now) {
    Second second = seconds.computeIfAbsent(event, key -> new Second());
    if (second.admitted == 0 || now - second.endsAt >= 0) {
      second.endsAt = now + SECOND_NANOS;
      second.admitted = 0;
    }
    if (second.admitted >= linesPerSecond) {
      second.left++;
      leftOut++;
      return -1;
    }
    second.admitted++;
    long left = second.left;
    second.left = 0;
    return left;
  }
}
