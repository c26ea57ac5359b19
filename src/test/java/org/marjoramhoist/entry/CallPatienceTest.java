package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class CallPatienceTest {

  private static final long LEAST_MILLIS = 120;
  private static final int CALLS = 1_000;

  private final CallPatience patience = new CallPatience();

  @Test
  void waitsAsUsualWhileWorkersAnswerSoon() {
    for (int i = 0; i < CALLS; i++) {
      patience.answered(4_000);
    }
    assertThat(patience.timeoutMillis(LEAST_MILLIS)).isEqualTo(LEAST_MILLIS);
  }

  @Test
  void waitsLongerWhileAnswersAreReadLate() {
    for (int i = 0; i < CALLS; i++) {
      patience.answered(100_000);
    }
    assertThat(patience.timeoutMillis(LEAST_MILLIS)).isEqualTo(500);
    for (int i = 0; i < CALLS; i++) {
      patience.answered(4_000);
    }
    assertThat(patience.timeoutMillis(LEAST_MILLIS)).isEqualTo(LEAST_MILLIS);
  }

  @Test
  void waitsNoLongerThanFiveTimesTheUsual() {
    for (int i = 0; i < CALLS; i++) {
      patience.answered(10_000_000);
    }
    assertThat(patience.timeoutMillis(LEAST_MILLIS)).isEqualTo(5 * LEAST_MILLIS);
  }
}
