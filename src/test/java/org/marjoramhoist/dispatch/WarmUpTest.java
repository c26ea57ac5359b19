package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class WarmUpTest {

  private static final long MILLI = 1_000;
  private static final long NOW = 50_000 * MILLI;

  private final WarmUp warmUp = new WarmUp();

  private int mostAfter(long millis) {
    return warmUp.mostTasks(NOW + millis * MILLI);
  }

  @Test
  void limitsNothingForWorkersThatNameNoTime() {
    assertThat(mostAfter(0)).isEqualTo(Integer.MAX_VALUE);
    warmUp.told(1, 0, NOW);
    assertThat(mostAfter(0)).isEqualTo(Integer.MAX_VALUE);
  }

  @Test
  void allowsTwiceAsMuchInEachQuarter() {
    warmUp.told(1, 8_000, NOW);
    assertThat(mostAfter(0)).isEqualTo(1);
    assertThat(mostAfter(2_000)).isEqualTo(2);
    assertThat(mostAfter(4_000)).isEqualTo(4);
    assertThat(mostAfter(7_999)).isEqualTo(8);
    assertThat(mostAfter(8_000)).isEqualTo(Integer.MAX_VALUE);
  }

  /** An entry is read more often than it is written: read again, it must not begin anew. */
  @Test
  void entryThatIsReadAgainChangesNothing() {
    warmUp.told(1, 8_000, NOW);
    warmUp.told(1, 8_000, NOW + 7_000 * MILLI);
    assertThat(mostAfter(7_000)).isEqualTo(8);
  }

  @Test
  void laterEntryCorrectsTheEndOnly() {
    warmUp.told(1, 8_000, NOW);
    warmUp.told(1, 3_000, NOW + 3_000 * MILLI);
    assertThat(mostAfter(3_000)).isEqualTo(4);
    assertThat(mostAfter(6_000)).isEqualTo(Integer.MAX_VALUE);
    // Told a little late: near its end it must not begin anew.
    warmUp.told(1, 500, NOW + 6_200 * MILLI);
    assertThat(mostAfter(6_200)).isEqualTo(8);
  }

  @Test
  void nextLifeOrLaterWarmUpBeginsAnew() {
    warmUp.told(1, 8_000, NOW);
    warmUp.told(2, 8_000, NOW + 7_000 * MILLI);
    assertThat(mostAfter(7_000)).isEqualTo(1);
    warmUp.told(2, 0, NOW + 20_000 * MILLI);
    warmUp.told(2, 8_000, NOW + 30_000 * MILLI);
    assertThat(mostAfter(30_000)).isEqualTo(1);
  }

  @Test
  void beginsAnewWithTheTimeToldLast() {
    warmUp.told(1, 8_000, NOW);
    warmUp.restart(NOW + 20_000 * MILLI);
    assertThat(mostAfter(20_000)).isEqualTo(1);
    assertThat(mostAfter(28_000)).isEqualTo(Integer.MAX_VALUE);
  }
}
