package org.marjoramhoist.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Finds out that the machine was suspended: the steady clock stands still meanwhile, the time of
 * day goes on. A step of the time of day looks the same.
 *
 * <p>Confined to one thread.
 */
final class SuspensionDetector {

  private static final long MIN_SUSPENSION_MILLIS = 150;

  private final LongSupplier wallMillis;
  private final LongSupplier monotonicNanos;
  private long offsetMillis;

  SuspensionDetector() {
    this(System::currentTimeMillis, System::nanoTime);
  }

  /**
   * Creates a detector over clocks.
   *
   * @param wallMillis the time of day, in milliseconds
   * @param monotonicNanos a steady time in nanoseconds
   */
  SuspensionDetector(LongSupplier wallMillis, LongSupplier monotonicNanos) {
    this.wallMillis = wallMillis;
    this.monotonicNanos = monotonicNanos;
    this.offsetMillis = offset();
  }

  private long offset() {
    return wallMillis.getAsLong() - TimeUnit.NANOSECONDS.toMillis(monotonicNanos.getAsLong());
  }

  /** Forgets what has been; to be called when a new permission is asked for. */
  void reset() {
    offsetMillis = offset();
  }

  /** Tells whether the time of day has run ahead of the steady clock since the last call of any. */
  boolean wasSuspended() {
    long previous = offsetMillis;
    offsetMillis = offset();
    return offsetMillis - previous > MIN_SUSPENSION_MILLIS;
  }
}
