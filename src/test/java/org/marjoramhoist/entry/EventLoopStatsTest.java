package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class EventLoopStatsTest {

  private final EventLoopStats load = new EventLoopStats();

  @Test
  void tellsTheLongestStepAndTheSum() {
    load.recordStep(300);
    load.recordStep(700);
    load.recordStep(200);
    assertThat(load.takeSample()).isEqualTo(new EventLoopStats.Sample(3, 1_200, 700, 0));
  }

  @Test
  void tellsTheLatestTick() {
    load.recordTick(1_000, 21_000);
    load.recordTick(26_000, 46_000);
    load.recordTick(47_000, 67_000);
    assertThat(load.takeSample().tickLateMicros()).isEqualTo(5_000);
  }

  @Test
  void beginsAnewWithEachSample() {
    load.recordStep(300);
    load.recordTick(1_000, 21_000);
    load.recordTick(30_000, 50_000);
    load.takeSample();
    load.recordTick(50_000, 70_000);
    assertThat(load.takeSample()).isEqualTo(new EventLoopStats.Sample(0, 0, 0, 0));
  }
}
