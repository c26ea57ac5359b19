package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlownessEstimateTest {

  private static final long SECOND = 1_000_000;

  private final SlownessEstimate estimate = new SlownessEstimate();
  private long now = 10 * SECOND;

  private void complete(int count, double ratio) {
    for (int i = 0; i < count; i++) {
      now += 100_000;
      estimate.runCompleted(ratio, now);
    }
  }

  private double slowness() {
    return estimate.estimate(List.of(), now);
  }

  @Test
  void usualPredictionErrorsDoNotMakeWorkerSlow() {
    complete(20, 1.4);
    assertThat(slowness()).isEqualTo(1);
    complete(1, 3);
    assertThat(slowness()).isEqualTo(1);
  }

  /** Earlier runs must not hide for long that a worker has turned slow. */
  @Test
  void twoSlowRunsSufficeAfterManySoundOnes() {
    complete(50, 1);
    complete(2, 6);
    assertThat(slowness()).isGreaterThan(2.0);
  }

  @Test
  void slowWorkerIsTriedAgainAfterSomeSeconds() {
    complete(3, 6);
    assertThat(slowness()).isGreaterThan(3.0);
    now += 10 * SECOND;
    assertThat(slowness()).isEqualTo(1);
  }

  @Test
  void soundRunsEndTheSuspicion() {
    complete(3, 6);
    complete(2, 1);
    assertThat(slowness()).isEqualTo(1);
  }
}
