package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {

  private long wallMillis = 1_000_000;
  private long monotonicNanos = 5_000_000_000L;
  private final SuspensionDetector detector =
      new SuspensionDetector(() -> wallMillis, () -> monotonicNanos);

  private void advance(long wall, long monotonic) {
    wallMillis += wall;
    monotonicNanos += monotonic * 1_000_000;
  }

  @Test
  void reportsSuspensionOnce() {
    advance(20, 20);
    assertThat(detector.wasSuspended()).isFalse();
    advance(2_020, 20);
    assertThat(detector.wasSuspended()).isTrue();
    advance(20, 20);
    assertThat(detector.wasSuspended()).isFalse();
  }

  @Test
  void toleratesSlowDrift() {
    for (int i = 0; i < 1_000; i++) {
      advance(101, 100);
      assertThat(detector.wasSuspended()).isFalse();
    }
  }
}
