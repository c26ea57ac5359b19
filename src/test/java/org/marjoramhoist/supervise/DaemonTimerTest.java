package org.marjoramhoist.supervise;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A repeated task that fails each time. */
class DaemonTimerTest {

  @Test
  void taskIsRepeatedAfterFailures() throws InterruptedException {
    ScheduledExecutorService timer = DaemonTimer.create("test-timer");
    CountDownLatch runs = new CountDownLatch(6);
    Runnable failing =
        () -> {
          runs.countDown();
          throw new StackOverflowError("a test");
        };
    timer.scheduleAtFixedRate(failing, 0, 5, TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(failing, 0, 50_000, TimeUnit.MILLISECONDS);
    timer.schedule(failing, 0, TimeUnit.MILLISECONDS);
    assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
    timer.shutdownNow();
  }
}
