package org.marjoramhoist.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.log.Faults;
import org.xnio.XnioIoThread;

/**
 * A host's single-threaded event loop and its clock.
 *
 * <p>A task that fails is logged and ends neither the loop nor its own repetition. Thread-safe.
 */
final class EventLoop implements AutoCloseable {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long CLOSE_SECONDS = 1;

  private final XnioIoThread thread;
  private volatile boolean closed;

  EventLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  /** Returns the time in microseconds on the host's monotonic clock. */
  static long now() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  /** Returns the Unix time in milliseconds at which the monotonic clock was 0. */
  static long epochMillis() {
    return System.currentTimeMillis() - TimeUnit.MICROSECONDS.toMillis(now());
  }

  static long millisToMicros(long millis) {
    return millis * MICROS_PER_MILLI;
  }

  void execute(Runnable task) {
    if (!closed) {
      thread.execute(() -> runAndLogFailures(task));
    }
  }

  /** Runs a task once after a delay. */
  void schedule(long delayMillis, Runnable task) {
    if (!closed) {
      thread.executeAfter(() -> runAndLogFailures(task), delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  /** Runs a task once after a delay plus random jitter of up to half the delay. */
  void scheduleWithJitter(long delayMillis, Runnable task) {
    schedule(delayMillis + ThreadLocalRandom.current().nextLong(delayMillis / 2 + 1), task);
  }

  /** Runs a task repeatedly, with a fixed delay before each run. */
  void scheduleWithFixedDelay(long delayMillis, Runnable task) {
    schedule(
        delayMillis,
        () -> {
          runAndLogFailures(task);
          scheduleWithFixedDelay(delayMillis, task);
        });
  }

  private void runAndLogFailures(Runnable task) {
    if (!closed) {
      Faults.contain("loop", task);
    }
  }

  /**
   * Discards all tasks that have not started, and waits for the one that is at work, a second at
   * most: what it uses may be closed next.
   */
  @Override
  public void close() {
    closed = true;
    if (Thread.currentThread() != thread) {
      awaitTaskAtWork();
    }
  }

  private void awaitTaskAtWork() {
    CountDownLatch over = new CountDownLatch(1);
    try {
      thread.execute(over::countDown);
      // A task that takes longer must not keep the process from its end.
      over.await(CLOSE_SECONDS, TimeUnit.SECONDS);
    } catch (RejectedExecutionException e) {
      // The thread has ended, and its tasks with it.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
