package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SuccessorSelectorTest {

  private static final long MILLI = 1_000;
  private static final HostCapacity SMALL = new HostCapacity(500);
  private static final HostCapacity LITTLE_MORE = new HostCapacity(700);
  private static final HostCapacity LARGE = new HostCapacity(3_000);

  private long now = 1_000 * MILLI;
  private final SuccessorSelector succession = new SuccessorSelector(SMALL);

  @BeforeEach
  void begin() {
    succession.setCapacities(Map.of("a", SMALL, "b", SMALL, "c", LITTLE_MORE, "d", LARGE));
    succession.startTerm(now);
  }

  /** Has hosts follow for a time, with a heartbeat each 100 ms. */
  private void follow(long millis, String... hosts) {
    for (long passed = 0; passed <= millis; passed += 100) {
      now += 100 * MILLI;
      for (String host : hosts) {
        succession.followerReplied(host, true, now);
      }
    }
  }

  @Test
  void largestFollowerSucceeds() {
    follow(0, "b", "c", "d");
    assertThat(succession.choose(now)).hasValue("d");
  }

  @Test
  void hostThatIsSilentOrNotServedDoesNotSucceed() {
    follow(0, "b", "c", "d");
    succession.followerReplied("d", false, now);
    assertThat(succession.choose(now)).hasValue("c");
    now += 500 * MILLI;
    assertThat(succession.choose(now)).isEmpty();
  }

  @Test
  void muchLargerHostIsAskedOnceItFollowsSteadily() {
    follow(1_900, "b", "c", "d");
    assertThat(succession.chooseLarger(now)).isEmpty();
    follow(100, "b", "c", "d");
    assertThat(succession.chooseLarger(now)).hasValue("d");
  }

  @Test
  void breakInFollowingBeginsTheTimeAgain() {
    follow(1_800, "d");
    now += 500 * MILLI;
    follow(1_800, "d");
    assertThat(succession.chooseLarger(now)).isEmpty();
    follow(300, "d");
    assertThat(succession.chooseLarger(now)).hasValue("d");
  }

  @Test
  void littleMoreIsNotWorthAnotherLeader() {
    follow(5_000, "b", "c");
    assertThat(succession.chooseLarger(now)).isEmpty();
  }

  @Test
  void largerHostIsAskedAgainAfterWhile() {
    follow(2_200, "d");
    assertThat(succession.chooseLarger(now)).hasValue("d");
    follow(800, "d");
    assertThat(succession.chooseLarger(now)).isEmpty();
    follow(200, "d");
    assertThat(succession.chooseLarger(now)).hasValue("d");
  }

  /** The store may lose all registrations; they come back one by one. */
  @Test
  void largeLeaderStaysWhileItsOwnRegistrationIsGone() {
    SuccessorSelector large = new SuccessorSelector(LARGE);
    large.startTerm(now);
    large.setCapacities(Map.of("d", LARGE));
    for (int i = 0; i < 50; i++) {
      now += 100 * MILLI;
      large.followerReplied("d", true, now);
      assertThat(large.chooseLarger(now)).isEmpty();
    }
  }

  @Test
  void capacityIsWhatProcessorAndLinkBothAllow() {
    HostCapacity balanced = HostCapacity.of(1, 1_000);
    assertThat(HostCapacity.of(1, 10)).isLessThan(balanced);
    assertThat(HostCapacity.of(0.27, 1_000)).isLessThan(balanced);
    assertThat(HostCapacity.of(0.27, 1_000).isMuchSmallerThan(balanced)).isTrue();
  }
}
