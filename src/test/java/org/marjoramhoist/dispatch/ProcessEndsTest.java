package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Which workers end by themselves. */
class ProcessEndsTest {

  private static final long SECOND = 1_000_000;

  private final ProcessEnds ends = new ProcessEnds();

  @Test
  void workerThatEndedTwiceLatelyIsUnreliable() {
    ends.record("a:1", 10 * SECOND);
    assertThat(ends.isUnreliableAt("a:1", 11 * SECOND)).isFalse();
    ends.record("a:1", 12 * SECOND);
    assertThat(ends.isUnreliableAt("a:1", 13 * SECOND)).isTrue();
    assertThat(ends.isUnreliableAt("b:1", 13 * SECOND)).isFalse();
    assertThat(ends.isUnreliableAt("a:1", 16 * SECOND)).isFalse();
  }

  @Test
  void endIsForgottenAfterTime() {
    ends.record("a:1", 10 * SECOND);
    assertThat(ends.anyBefore("a:1", 9 * SECOND)).isFalse();
    assertThat(ends.anyBefore("a:1", 15 * SECOND)).isTrue();
    assertThat(ends.anyBefore("a:1", 16 * SECOND)).isFalse();
  }
}
