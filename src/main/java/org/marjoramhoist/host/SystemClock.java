package org.marjoramhoist.host;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The time in microseconds since the epoch, steady between readings and led towards the machine's
 * clock.
 *
 * <p>A step of the machine's clock is followed by at most 5 ms a second, so that deadlines neither
 * jump nor drift. Safe for use by several threads.
 */
public final class SystemClock implements LongSupplier {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long CORRECTION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long MAX_CORRECTION_MICROS = 5 * MICROS_PER_MILLI;

  private final LongSupplier wallMillis;
  private final LongSupplier steadyNanos;
  private long baseMicros;
  private long baseNanos;

  /** Creates a clock that starts at the machine's time. */
  public SystemClock() {
    this(System::currentTimeMillis, System::nanoTime);
  }

  /**
   * Creates a clock over other clocks.
   *
   * @param wallMillis the machine's time, in milliseconds since the epoch
   * @param steadyNanos a steady time in nanoseconds
   */
  SystemClock(LongSupplier wallMillis, LongSupplier steadyNanos) {
    this.wallMillis = wallMillis;
    this.steadyNanos = steadyNanos;
    this.baseMicros = wallMillis.getAsLong() * MICROS_PER_MILLI;
    this.baseNanos = steadyNanos.getAsLong();
  }

  @Override
  public synchronized long getAsLong() {
    long nanos = steadyNanos.getAsLong();
    long now = baseMicros + TimeUnit.NANOSECONDS.toMicros(nanos - baseNanos);
    if (nanos - baseNanos < CORRECTION_INTERVAL_NANOS) {
      return now;
    }
    long behind = wallMillis.getAsLong() * MICROS_PER_MILLI - now;
    long correction = Math.max(-MAX_CORRECTION_MICROS, Math.min(MAX_CORRECTION_MICROS, behind));
    baseMicros = now + correction;
    baseNanos = nanos;
    return baseMicros;
  }
}
