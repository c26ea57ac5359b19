package org.marjoramhoist.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects that the machine was suspended: the monotonic clock stops during a suspension, the wall
 * clock doesn't. A forward step of the wall clock is indistinguishable from a suspension.
 *
 * <p>Confined to one thread.
 */
final class SuspensionDetector {

  /** Shorter suspensions are ignored, and so is the drift between the clocks. */
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
   * Ignores suspensions before this call. Called before this host requests confirmation as leader
   * from other hosts or the store, because only later suspensions invalidate it.
   */
  void reset() {
    offsetMillis = offset();
  }

  /**
   * Returns whether the wall clock has advanced further than the monotonic clock since the last
   * call of this method or of {@link #reset}.
   */
  boolean wasSuspended() {
    long previous = offsetMillis;
    offsetMillis = offset();
    return offsetMillis - previous > MIN_SUSPENSION_MILLIS;
  }
}
