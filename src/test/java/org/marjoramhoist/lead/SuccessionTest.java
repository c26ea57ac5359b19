package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SuccessionTest {

  private static final long MILLI = 1_000;
  private static final HostCapacity SMALL = new HostCapacity(500);
  private static final HostCapacity LITTLE_MORE = new HostCapacity(700);
  private static final HostCapacity LARGE = new HostCapacity(3_000);

  private long now = 1_000 * MILLI;
  private final Succession succession = new Succession(SMALL);

  @BeforeEach
  void begin() {
    succession.hostsSeen(Map.of("a", SMALL, "b", SMALL, "c", LITTLE_MORE, "d", LARGE));
    succession.begin(now);
  }

  /** Has hosts follow for a time, with a heartbeat each 100 ms. */
  private void follow(long millis, String... hosts) {
    for (long passed = 0; passed <= millis; passed += 100) {
      now += 100 * MILLI;
      for (String host : hosts) {
        succession.follows(host, true, now);
      }
    }
  }

  @Test
  void largestFollowerSucceeds() {
    follow(0, "b", "c", "d");
    assertThat(succession.successor(now)).hasValue("d");
  }

  @Test
  void hostThatIsSilentOrNotServedDoesNotSucceed() {
    follow(0, "b", "c", "d");
    succession.follows("d", false, now);
    assertThat(succession.successor(now)).hasValue("c");
    now += 500 * MILLI;
    assertThat(succession.successor(now)).isEmpty();
  }

  @Test
  void muchLargerHostIsAskedOnceItFollowsSteadily() {
    follow(1_900, "b", "c", "d");
    assertThat(succession.larger(now)).isEmpty();
    follow(100, "b", "c", "d");
    assertThat(succession.larger(now)).hasValue("d");
  }

  @Test
  void breakInFollowingBeginsTheTimeAgain() {
    follow(1_800, "d");
    now += 500 * MILLI;
    follow(1_800, "d");
    assertThat(succession.larger(now)).isEmpty();
    follow(300, "d");
    assertThat(succession.larger(now)).hasValue("d");
  }

  @Test
  void littleMoreIsNotWorthAnotherLeader() {
    follow(5_000, "b", "c");
    assertThat(succession.larger(now)).isEmpty();
  }

  @Test
  void largerHostIsAskedAgainAfterWhile() {
    follow(2_200, "d");
    assertThat(succession.larger(now)).hasValue("d");
    follow(800, "d");
    assertThat(succession.larger(now)).isEmpty();
    follow(200, "d");
    assertThat(succession.larger(now)).hasValue("d");
  }

  /** The store may lose all registrations; they come back one by one. */
  @Test
  void largeLeaderStaysWhileItsOwnRegistrationIsGone() {
    Succession large = new Succession(LARGE);
    large.begin(now);
    large.hostsSeen(Map.of("d", LARGE));
    for (int i = 0; i < 50; i++) {
      now += 100 * MILLI;
      large.follows("d", true, now);
      assertThat(large.larger(now)).isEmpty();
    }
  }

  @Test
  void capacityIsWhatProcessorAndLinkBothAllow() {
    HostCapacity balanced = HostCapacity.of(1, 1_000);
    assertThat(HostCapacity.of(1, 10)).isLessThan(balanced);
    assertThat(HostCapacity.of(0.27, 1_000)).isLessThan(balanced);
    assertThat(HostCapacity.of(0.27, 1_000).isMuchLessThan(balanced)).isTrue();
  }
}
