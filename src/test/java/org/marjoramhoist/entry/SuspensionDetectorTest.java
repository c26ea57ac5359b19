package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {

  private long wallMillis = 1_000_000;
  private long steadyNanos = 5_000_000_000L;
  private final SuspensionDetector detector =
      new SuspensionDetector(() -> wallMillis, () -> steadyNanos);

  private void pass(long wall, long steady) {
    wallMillis += wall;
    steadyNanos += steady * 1_000_000;
  }

  @Test
  void tellsSuspensionOnce() {
    pass(20, 20);
    assertThat(detector.wasSuspended()).isFalse();
    pass(2_020, 20);
    assertThat(detector.wasSuspended()).isTrue();
    pass(20, 20);
    assertThat(detector.wasSuspended()).isFalse();
  }

  @Test
  void toleratesSlowDrift() {
    for (int i = 0; i < 1_000; i++) {
      pass(101, 100);
      assertThat(detector.wasSuspended()).isFalse();
    }
  }
}
