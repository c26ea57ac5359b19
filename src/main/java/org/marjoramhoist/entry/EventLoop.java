package org.marjoramhoist.entry;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.log.EventLog;
import org.xnio.XnioIoThread;

/**
 * A host's single-threaded event loop and its clock.
 *
 * <p>An exception thrown by a task is logged and does not end the loop. Thread-safe.
 */
final class EventLoop implements AutoCloseable {

  private static final long MICROS_PER_MILLI = 1_000;

  private final XnioIoThread thread;
  private volatile boolean closed;

  EventLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  /** Returns the time in microseconds on the host's monotonic clock. */
  static long now() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  /**
   * Returns the wall-clock time, in milliseconds since 1970, at which the monotonic clock was 0.
   */
  static long epochMillis() {
    return System.currentTimeMillis() - TimeUnit.MICROSECONDS.toMillis(now());
  }

  static long millisToMicros(long millis) {
    return millis * MICROS_PER_MILLI;
  }

  void execute(Runnable task) {
    if (!closed) {
      thread.execute(() -> runGuarded(task));
    }
  }

  /** Runs a task once after a delay in milliseconds. */
  void schedule(long millis, Runnable task) {
    if (!closed) {
      thread.executeAfter(() -> runGuarded(task), millis, TimeUnit.MILLISECONDS);
    }
  }

  /** Runs a task once after a delay in milliseconds, plus random jitter of up to half the delay. */
  void scheduleWithJitter(long millis, Runnable task) {
    schedule(millis + ThreadLocalRandom.current().nextLong(millis / 2 + 1), task);
  }

  /** Runs a task repeatedly, with a fixed delay in milliseconds before each run. */
  void scheduleWithFixedDelay(long millis, Runnable task) {
    schedule(
        millis,
        () -> {
          runGuarded(task);
          scheduleWithFixedDelay(millis, task);
        });
  }

  private void runGuarded(Runnable task) {
    if (closed) {
      return;
    }
    try {
      task.run();
    } catch (RuntimeException e) {
      EventLog.fault("loop", e);
    }
  }

  /** Discards all tasks that have not started. */
  @Override
  public void close() {
    closed = true;
  }
}
