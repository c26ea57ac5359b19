package org.marjoramhoist.host;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The time in microseconds since the epoch, which never goes back while the process runs.
 *
 * <p>Safe for use by several threads.
 */
public final class SystemClock implements LongSupplier {

  private static final long MICROS_PER_MILLI = 1_000;

  private final long startMicros = System.currentTimeMillis() * MICROS_PER_MILLI;
  private final long startNanos = System.nanoTime();

  @Override
  public long getAsLong() {
    return startMicros + TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
  }
}
