package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class IsolationDetectorTest {

  private long storeAnsweredAt;
  private final IsolationDetector detector = new IsolationDetector(time -> storeAnsweredAt >= time);

  @Test
  void hostWithoutMostHostsAndStoreIsIsolatedAtTheSecondRound() {
    assertThat(detector.hostsAsked(1_000, 4, 1, false)).isFalse();
    assertThat(detector.hostsAsked(2_000, 4, 1, false)).isTrue();
  }

  @Test
  void hostThatTheStoreAnswersIsNotIsolated() {
    detector.hostsAsked(1_000, 4, 1, false);
    storeAnsweredAt = 1_500;
    assertThat(detector.hostsAsked(2_000, 4, 1, false)).isFalse();
  }

  @Test
  void storeThatFallsSilentLaterCountsFromThen() {
    detector.hostsAsked(1_000, 4, 1, false);
    storeAnsweredAt = 1_500;
    detector.hostsAsked(2_000, 4, 1, false);
    assertThat(detector.hostsAsked(3_000, 4, 1, false)).isTrue();
  }

  @Test
  void hostThatReachesMostHostsIsNotIsolated() {
    detector.hostsAsked(1_000, 4, 1, false);
    assertThat(detector.hostsAsked(2_000, 4, 2, false)).isFalse();
    assertThat(detector.hostsAsked(3_000, 4, 1, false)).isFalse();
  }

  @Test
  void hostWhoseLeaderIsHeardIsNotIsolated() {
    detector.hostsAsked(1_000, 4, 1, false);
    assertThat(detector.hostsAsked(2_000, 4, 1, true)).isFalse();
    detector.hostsAsked(3_000, 4, 1, false);
    detector.leaderHeard();
    assertThat(detector.hostsAsked(4_000, 4, 1, false)).isFalse();
  }

  @Test
  void onlyHostIsNeverIsolated() {
    detector.hostsAsked(1_000, 0, 0, false);
    assertThat(detector.hostsAsked(2_000, 0, 0, false)).isFalse();
  }

  @Test
  void domainWithoutStoreAndOtherDomainsIsCutOffInOneRound() {
    storeAnsweredAt = 550_000;
    assertThat(detector.domainsAsked(500_000, 950_000, 0, false)).isTrue();
  }

  @Test
  void anyAnswerFromOutsideKeepsDomainFromBeingCutOff() {
    assertThat(detector.domainsAsked(500_000, 950_000, 1, false)).isFalse();
    assertThat(detector.domainsAsked(500_000, 950_000, 0, true)).isFalse();
    storeAnsweredAt = 700_000;
    assertThat(detector.domainsAsked(500_000, 950_000, 0, false)).isFalse();
  }

  /** A link that breaks is noticed before the next heartbeat is due. */
  @Test
  void storeThatAnswersWhatItWasAskedIsNotSilent() {
    storeAnsweredAt = 530_000;
    assertThat(detector.domainsAsked(500_000, 520_000, 0, false)).isFalse();
  }
}
