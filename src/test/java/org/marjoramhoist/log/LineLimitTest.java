package org.marjoramhoist.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** The bound on the lines that clients cause. */
class LineLimitTest {

  private static final long SECOND = 1_000_000_000;

  private final LineLimit limit = new LineLimit(2);

  @Test
  void linesBeyondTheBoundAreLeftOutAndCounted() {
    assertThat(limit.admit(LogEvent.JOB_REFUSED, 5)).isEqualTo(0);
    assertThat(limit.admit(LogEvent.JOB_REFUSED, 6)).isEqualTo(0);
    assertThat(limit.admit(LogEvent.JOB_REFUSED, 7)).isEqualTo(-1);
    assertThat(limit.admit(LogEvent.JOB_REFUSED, SECOND)).isEqualTo(-1);
    assertThat(limit.admit(LogEvent.JOB_ANSWERED, SECOND)).isEqualTo(0);
    assertThat(limit.admit(LogEvent.JOB_REFUSED, SECOND + 5)).isEqualTo(2);
    assertThat(limit.admit(LogEvent.JOB_REFUSED, SECOND + 6)).isEqualTo(0);
    assertThat(limit.leftOut()).isEqualTo(2);
  }
}
