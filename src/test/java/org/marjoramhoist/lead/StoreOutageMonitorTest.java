package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramhoist.lead.StoreOutageMonitor.Decision;

class StoreOutageMonitorTest {

  private static final long MILLI = 1_000;
  private static final long HEARTBEAT = 100 * MILLI;

  private final StoreOutageMonitor monitor = new StoreOutageMonitor();
  private long now = 1_000 * MILLI;
  private long outageStartedAt;

  private Decision step(boolean othersServed) {
    now += HEARTBEAT;
    return monitor.step(now, outageStartedAt == 0 ? 0 : now - outageStartedAt, othersServed);
  }

  /** The store answers a follower again 0.28 s before the leader's own next call is due. */
  @Test
  void leaderStaysWhenTheStoreAnswersFollowerFirst() {
    outageStartedAt = now;
    for (int i = 0; i < 62; i++) {
      assertThat(step(false)).isEqualTo(Decision.NONE);
    }
    assertThat(step(true)).isEqualTo(Decision.PROBE);
    assertThat(step(true)).isEqualTo(Decision.NONE);
    outageStartedAt = 0;
    for (int i = 0; i < 50; i++) {
      assertThat(step(true)).isEqualTo(Decision.NONE);
    }
  }

  @Test
  void handsOverWhenOnlyThisHostIsTurnedAway() {
    assertThat(step(true)).isEqualTo(Decision.NONE);
    outageStartedAt = now;
    assertThat(step(true)).isEqualTo(Decision.PROBE);
    for (int i = 0; i < 14; i++) {
      assertThat(step(true)).isEqualTo(Decision.NONE);
    }
    assertThat(step(true)).isEqualTo(Decision.HAND_OVER);
  }

  @Test
  void handsOverWhenTheStoreReturnsForOthersOnly() {
    outageStartedAt = now;
    for (int i = 0; i < 40; i++) {
      step(false);
    }
    assertThat(step(true)).isEqualTo(Decision.PROBE);
    for (int i = 0; i < 5; i++) {
      assertThat(step(true)).isEqualTo(Decision.NONE);
    }
    assertThat(step(true)).isEqualTo(Decision.HAND_OVER);
  }

  @Test
  void followerThatIsTurnedAwayTooRestartsTheCheck() {
    outageStartedAt = now;
    for (int i = 0; i < 20; i++) {
      assertThat(step(i % 4 == 0)).isNotEqualTo(Decision.HAND_OVER);
    }
  }
}
