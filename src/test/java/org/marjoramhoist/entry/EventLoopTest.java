package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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
}
