package org.marjoramhoist.host;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class SystemClockTest {

  private final AtomicLong wallMillis = new AtomicLong(1_000_000);
  private final AtomicLong nanos = new AtomicLong(77);
  private final SystemClock clock = new SystemClock(wallMillis::get, nanos::get);

  private void pass(long wall, long steady) {
    wallMillis.addAndGet(wall);
    nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(steady));
  }

  @Test
  void followsStepOfTheMachineClockSlowly() {
    pass(3_600_000, 1_000);
    assertThat(clock.getAsLong()).isEqualTo(1_001_005_000L);
    pass(-7_200_000, 1_000);
    assertThat(clock.getAsLong()).isEqualTo(1_002_000_000L);
  }

  @Test
  void doesNotDriftFromTheMachineClock() {
    for (int i = 0; i < 10_000; i++) {
      pass(1_001, 1_000);
      clock.getAsLong();
    }
    assertThat(wallMillis.get() * 1_000 - clock.getAsLong()).isAtMost(5_000L);
  }
}
