package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class WarmUpTest {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long NOW = 50_000 * MICROS_PER_MILLI;

  private final WarmUp warmUp = new WarmUp();

  private int maxTasksAfter(long millis) {
    return warmUp.maxTasks(NOW + millis * MICROS_PER_MILLI);
  }

  /** Workers without a warm-up time must not be limited. */
  @Test
  void doesNotLimitWorkersWithoutWarmUpTime() {
    assertThat(maxTasksAfter(0)).isEqualTo(Integer.MAX_VALUE);
    warmUp.update(1, 0, NOW);
    assertThat(maxTasksAfter(0)).isEqualTo(Integer.MAX_VALUE);
  }

  /** A cold worker that is fully loaded at once makes all its tasks late. */
  @Test
  void doublesTheLimitInEachQuarter() {
    warmUp.update(1, 8_000, NOW);
    assertThat(maxTasksAfter(0)).isEqualTo(1);
    assertThat(maxTasksAfter(2_000)).isEqualTo(2);
    assertThat(maxTasksAfter(4_000)).isEqualTo(4);
    assertThat(maxTasksAfter(7_999)).isEqualTo(8);
    assertThat(maxTasksAfter(8_000)).isEqualTo(Integer.MAX_VALUE);
  }

  /**
   * An entry is read more often than it is written; reading it again must not restart the warm-up.
   */
  @Test
  void unchangedEntryHasNoEffect() {
    warmUp.update(1, 8_000, NOW);
    warmUp.update(1, 8_000, NOW + 7_000 * MICROS_PER_MILLI);
    assertThat(maxTasksAfter(7_000)).isEqualTo(8);
  }

  /** A new entry within the same warm-up must not limit the worker to one task again. */
  @Test
  void laterEntryUpdatesTheEndOnly() {
    warmUp.update(1, 8_000, NOW);
    warmUp.update(1, 3_000, NOW + 3_000 * MICROS_PER_MILLI);
    assertThat(maxTasksAfter(3_000)).isEqualTo(4);
    assertThat(maxTasksAfter(6_000)).isEqualTo(Integer.MAX_VALUE);
    // Reported slightly late: close to the end the warm-up must not restart.
    warmUp.update(1, 500, NOW + 6_200 * MICROS_PER_MILLI);
    assertThat(maxTasksAfter(6_200)).isEqualTo(8);
  }

  /** A restarted worker is cold again, and the limit before its restart must not apply. */
  @Test
  void newIncarnationOrLaterWarmUpStartsAgain() {
    warmUp.update(1, 8_000, NOW);
    warmUp.update(2, 8_000, NOW + 7_000 * MICROS_PER_MILLI);
    assertThat(maxTasksAfter(7_000)).isEqualTo(1);
    warmUp.update(2, 0, NOW + 20_000 * MICROS_PER_MILLI);
    warmUp.update(2, 8_000, NOW + 30_000 * MICROS_PER_MILLI);
    assertThat(maxTasksAfter(30_000)).isEqualTo(1);
  }

  /** After a drain the warm-up must not be skipped although its first end has passed. */
  @Test
  void restartsWithTheTimeReportedLast() {
    warmUp.update(1, 8_000, NOW);
    warmUp.restart(NOW + 20_000 * MICROS_PER_MILLI);
    assertThat(maxTasksAfter(20_000)).isEqualTo(1);
    assertThat(maxTasksAfter(28_000)).isEqualTo(Integer.MAX_VALUE);
  }
}
