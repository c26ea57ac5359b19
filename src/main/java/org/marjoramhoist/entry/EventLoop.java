package org.marjoramhoist.entry;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.log.EventLog;
import org.xnio.XnioIoThread;

/**
 * The one thread on which a host runs, and its clock.
 *
 * <p>A fault in a task is logged and does not end the loop. Safe for use by several threads.
 */
final class EventLoop implements AutoCloseable {

  private static final long MICROS_PER_MILLI = 1_000;

  private final XnioIoThread thread;
  private volatile boolean closed;

  EventLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  /** Returns the time in microseconds on the host's steady clock. */
  static long now() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  /** Returns the time since 1970, in milliseconds, at which the steady clock was 0. */
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

  /** Runs a task once after a time in milliseconds. */
  void schedule(long millis, Runnable task) {
    if (!closed) {
      thread.executeAfter(() -> runGuarded(task), millis, TimeUnit.MILLISECONDS);
    }
  }

  /** Runs a task once after a time in milliseconds that is drawn up to half as long again. */
  void scheduleWithJitter(long millis, Runnable task) {
    schedule(millis + ThreadLocalRandom.current().nextLong(millis / 2 + 1), task);
  }

  /** Runs a task again and again, with a pause in milliseconds between. */
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

  /** Runs nothing more. */
  @Override
  public void close() {
    closed = true;
  }
}
