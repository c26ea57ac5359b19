package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class EventLoopStatsTest {

  private final EventLoopStats stats = new EventLoopStats();

  @Test
  void reportsTotalAndLongestStep() {
    stats.recordStep(300);
    stats.recordStep(700);
    stats.recordStep(200);
    assertThat(stats.takeSample()).isEqualTo(new EventLoopStats.Sample(3, 1_200, 700, 0));
  }

  @Test
  void reportsLongestTickDelay() {
    stats.recordTick(1_000, 21_000);
    stats.recordTick(26_000, 46_000);
    stats.recordTick(47_000, 67_000);
    assertThat(stats.takeSample().tickLateMicros()).isEqualTo(5_000);
  }

  @Test
  void resetsWithEachSample() {
    stats.recordStep(300);
    stats.recordTick(1_000, 21_000);
    stats.recordTick(30_000, 50_000);
    stats.takeSample();
    stats.recordTick(50_000, 70_000);
    assertThat(stats.takeSample()).isEqualTo(new EventLoopStats.Sample(0, 0, 0, 0));
  }
}
