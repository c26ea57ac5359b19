package org.marjoramhoist.platform;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Limits the store calls of this host to a rate, with a burst of two seconds.
 *
 * <p>Safe for use by several threads.
 */
final class CallBudget {

  private static final int BURST_SECONDS = 2;

  private final LongSupplier nanoClock;
  private final long nanosPerCall;
  private final AtomicLong paidUntil;

  /**
   * Creates a full budget.
   *
   * @param callsPerSecond the rate
   * @param nanoClock a clock in nanoseconds that never goes back
   */
  CallBudget(int callsPerSecond, LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
    this.nanosPerCall = TimeUnit.SECONDS.toNanos(1) / callsPerSecond;
    long full = nanoClock.getAsLong() - TimeUnit.SECONDS.toNanos(BURST_SECONDS);
    this.paidUntil = new AtomicLong(full);
  }

  /** Takes one call out of the budget, if there is one. */
  boolean take() {
    long now = nanoClock.getAsLong();
    while (true) {
      long paid = paidUntil.get();
      long base = Math.max(paid, now - TimeUnit.SECONDS.toNanos(BURST_SECONDS));
      if (base + nanosPerCall > now) {
        return false;
      }
      if (paidUntil.compareAndSet(paid, base + nanosPerCall)) {
        return true;
      }
    }
  }
}
