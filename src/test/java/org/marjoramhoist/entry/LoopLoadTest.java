package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LoopLoadTest {

  private final LoopLoad load = new LoopLoad();

  @Test
  void tellsTheLongestStepAndTheSum() {
    load.stepped(300);
    load.stepped(700);
    load.stepped(200);
    assertThat(load.take()).isEqualTo(new LoopLoad.Sample(3, 1_200, 700, 0));
  }

  @Test
  void tellsTheLatestTick() {
    load.ticked(1_000, 21_000);
    load.ticked(26_000, 46_000);
    load.ticked(47_000, 67_000);
    assertThat(load.take().tickLateMicros()).isEqualTo(5_000);
  }

  @Test
  void beginsAnewWithEachSample() {
    load.stepped(300);
    load.ticked(1_000, 21_000);
    load.ticked(30_000, 50_000);
    load.take();
    load.ticked(50_000, 70_000);
    assertThat(load.take()).isEqualTo(new LoopLoad.Sample(0, 0, 0, 0));
  }
}
