package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class AdaptiveTimeoutTest {

  private static final long MIN_MILLIS = 120;
  private static final int CALLS = 1_000;

  private final AdaptiveTimeout timeout = new AdaptiveTimeout();

  @Test
  void isMinimalWhileResponsesAreFast() {
    for (int i = 0; i < CALLS; i++) {
      timeout.recordResponse(4_000);
    }
    assertThat(timeout.timeoutMillis(MIN_MILLIS)).isEqualTo(MIN_MILLIS);
  }

  @Test
  void growsWhileResponsesAreReadLate() {
    for (int i = 0; i < CALLS; i++) {
      timeout.recordResponse(100_000);
    }
    assertThat(timeout.timeoutMillis(MIN_MILLIS)).isEqualTo(500);
    for (int i = 0; i < CALLS; i++) {
      timeout.recordResponse(4_000);
    }
    assertThat(timeout.timeoutMillis(MIN_MILLIS)).isEqualTo(MIN_MILLIS);
  }

  @Test
  void isCappedAtFiveTimesTheMinimum() {
    for (int i = 0; i < CALLS; i++) {
      timeout.recordResponse(10_000_000);
    }
    assertThat(timeout.timeoutMillis(MIN_MILLIS)).isEqualTo(5 * MIN_MILLIS);
  }
}
