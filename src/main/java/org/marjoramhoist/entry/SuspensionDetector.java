package org.marjoramhoist.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects that the machine was suspended: the monotonic clock stops meanwhile, the wall clock
 * continues. A forward step of the wall clock has the same effect.
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
   * Creates a detector with the given clocks.
   *
   * @param wallMillis the wall clock in milliseconds
   * @param monotonicNanos a monotonic clock in nanoseconds
   */
  SuspensionDetector(LongSupplier wallMillis, LongSupplier monotonicNanos) {
    this.wallMillis = wallMillis;
    this.monotonicNanos = monotonicNanos;
    this.offsetMillis = offset();
  }

  private long offset() {
    return wallMillis.getAsLong() - TimeUnit.NANOSECONDS.toMillis(monotonicNanos.getAsLong());
  }

  /**
   * Discards earlier suspensions; called before other hosts or the store confirm this host as
   * leader.
   */
  void reset() {
    offsetMillis = offset();
  }

  /**
   * Returns whether the wall clock has advanced further than the monotonic clock since the last
   * call of any method.
   */
  boolean wasSuspended() {
    long previous = offsetMillis;
    offsetMillis = offset();
    return offsetMillis - previous > MIN_SUSPENSION_MILLIS;
  }
}
