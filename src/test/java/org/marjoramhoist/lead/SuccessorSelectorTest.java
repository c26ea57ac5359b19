package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SuccessorSelectorTest {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final HostCapacity SMALL = new HostCapacity(500);
  private static final HostCapacity SLIGHTLY_LARGER = new HostCapacity(700);
  private static final HostCapacity LARGE = new HostCapacity(3_000);

  private long now = 1_000 * MICROS_PER_MILLI;
  private final SuccessorSelector selector = new SuccessorSelector(SMALL);

  @BeforeEach
  void startTerm() {
    selector.setCapacities(Map.of("a", SMALL, "b", SMALL, "c", SLIGHTLY_LARGER, "d", LARGE));
    selector.startTerm(now);
  }

  /** Lets hosts follow for some time, with a reply every 100 ms. */
  private void follow(long millis, String... hosts) {
    for (long passed = 0; passed <= millis; passed += 100) {
      now += 100 * MICROS_PER_MILLI;
      for (String host : hosts) {
        selector.followerReplied(host, true, now);
      }
    }
  }

  @Test
  void choosesFollowerWithLargestCapacity() {
    follow(0, "b", "c", "d");
    assertThat(selector.selectSuccessor(now)).hasValue("d");
  }

  /** A host that has just started again knows too little to take over at once. */
  @Test
  void prefersHostThatHasFollowedLongEnoughToOneThatJustStarted() {
    follow(2_000, "b", "c");
    selector.followerReplied("d", true, now);
    assertThat(selector.selectSuccessor(now)).hasValue("c");
    follow(2_000, "b", "c", "d");
    assertThat(selector.selectSuccessor(now)).hasValue("d");
  }

  @Test
  void doesNotSelectHostThatStoppedReplyingOrCannotLead() {
    follow(0, "b", "c", "d");
    selector.followerReplied("d", false, now);
    assertThat(selector.selectSuccessor(now)).hasValue("c");
    now += 500 * MICROS_PER_MILLI;
    assertThat(selector.selectSuccessor(now)).isEmpty();
  }

  @Test
  void choosesMuchLargerHostOnceItHasFollowedLongEnough() {
    follow(1_900, "b", "c", "d");
    assertThat(selector.selectLargerSuccessor(now)).isEmpty();
    follow(100, "b", "c", "d");
    assertThat(selector.selectLargerSuccessor(now)).hasValue("d");
  }

  @Test
  void interruptionRestartsTheTimeOfFollowing() {
    follow(1_800, "d");
    now += 500 * MICROS_PER_MILLI;
    follow(1_800, "d");
    assertThat(selector.selectLargerSuccessor(now)).isEmpty();
    follow(300, "d");
    assertThat(selector.selectLargerSuccessor(now)).hasValue("d");
  }

  @Test
  void slightlyLargerHostIsNotChosen() {
    follow(5_000, "b", "c");
    assertThat(selector.selectLargerSuccessor(now)).isEmpty();
  }

  @Test
  void largerHostIsChosenAgainAfterInterval() {
    follow(2_200, "d");
    assertThat(selector.selectLargerSuccessor(now)).hasValue("d");
    follow(800, "d");
    assertThat(selector.selectLargerSuccessor(now)).isEmpty();
    follow(200, "d");
    assertThat(selector.selectLargerSuccessor(now)).hasValue("d");
  }

  /** The store may lose all registrations, which are then restored one by one. */
  @Test
  void largeLeaderStaysWhileItIsNotRegistered() {
    SuccessorSelector large = new SuccessorSelector(LARGE);
    large.startTerm(now);
    large.setCapacities(Map.of("d", LARGE));
    for (int i = 0; i < 50; i++) {
      now += 100 * MICROS_PER_MILLI;
      large.followerReplied("d", true, now);
      assertThat(large.selectLargerSuccessor(now)).isEmpty();
    }
  }

  @Test
  void capacityIsLimitedByProcessorAndLink() {
    HostCapacity balanced = HostCapacity.of(1, 1_000);
    assertThat(HostCapacity.of(1, 10)).isLessThan(balanced);
    assertThat(HostCapacity.of(0.27, 1_000)).isLessThan(balanced);
    assertThat(HostCapacity.of(0.27, 1_000).isMuchSmallerThan(balanced)).isTrue();
  }
}
