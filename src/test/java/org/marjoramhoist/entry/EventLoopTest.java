package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** The loop after a task that failed. */
class EventLoopTest extends StoreFixture {

  private static final long TIMEOUT_SECONDS = 5;

  private boolean runsAgainAfter(Runnable failure) throws InterruptedException {
    AtomicInteger runs = new AtomicInteger();
    CountDownLatch later = new CountDownLatch(1);
    loop.scheduleWithFixedDelay(
        5,
        () -> {
          if (runs.incrementAndGet() == 1) {
            failure.run();
          }
          later.countDown();
        });
    return later.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void repeatingTaskGoesOnAfterException() throws InterruptedException {
    assertThat(
            runsAgainAfter(
                () -> {
                  throw new IllegalStateException("a test");
                }))
        .isTrue();
  }

  @Test
  void repeatingTaskGoesOnAfterStackOverflow() throws InterruptedException {
    assertThat(runsAgainAfter(EventLoopTest::recurse)).isTrue();
  }

  private static void recurse() {
    recurse();
  }

  @Test
  void repeatingTaskGoesOnAfterLinkageError() throws InterruptedException {
    assertThat(
            runsAgainAfter(
                () -> {
                  throw new NoClassDefFoundError("a test");
                }))
        .isTrue();
  }

  /** Each stop of a busy host logged faults, as its last task used what was closed meanwhile. */
  @Test
  void closeWaitsForTheTaskAtWork() throws InterruptedException {
    CountDownLatch begun = new CountDownLatch(1);
    AtomicInteger ended = new AtomicInteger();
    loop.execute(
        () -> {
          begun.countDown();
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(200));
          ended.incrementAndGet();
        });
    loop.execute(ended::incrementAndGet);
    begun.await();
    loop.close();
    assertThat(ended.get()).isEqualTo(1);
  }

  @Test
  void taskMayCloseItsLoop() throws InterruptedException {
    CountDownLatch closed = new CountDownLatch(1);
    loop.execute(
        () -> {
          loop.close();
          closed.countDown();
        });
    assertThat(closed.await(500, TimeUnit.MILLISECONDS)).isTrue();
  }
}
