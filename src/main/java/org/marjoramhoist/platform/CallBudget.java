package org.marjoramhoist.platform;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Limits the rate of store calls of this host, with bursts of up to two seconds' worth of calls.
 *
 * <p>Safe for use by several threads.
 */
final class CallBudget {

  private static final int BURST_SECONDS = 2;

  private final LongSupplier nanoClock;
  private final long nanosPerCall;
  private final AtomicLong allocatedUntilNanos;

  /**
   * Creates a full budget.
   *
   * @param callsPerSecond the maximum rate
   * @param nanoClock a monotonic clock in nanoseconds
   */
  CallBudget(int callsPerSecond, LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
    this.nanosPerCall = TimeUnit.SECONDS.toNanos(1) / callsPerSecond;
    long full = nanoClock.getAsLong() - TimeUnit.SECONDS.toNanos(BURST_SECONDS);
    this.allocatedUntilNanos = new AtomicLong(full);
  }

  /** Returns whether the budget allows a call now, and deducts the call if so. */
  boolean tryAcquire() {
    long now = nanoClock.getAsLong();
    while (true) {
      long allocated = allocatedUntilNanos.get();
      long base = Math.max(allocated, now - TimeUnit.SECONDS.toNanos(BURST_SECONDS));
      if (base + nanosPerCall > now) {
        return false;
      }
      if (allocatedUntilNanos.compareAndSet(allocated, base + nanosPerCall)) {
        return true;
      }
    }
  }
}
