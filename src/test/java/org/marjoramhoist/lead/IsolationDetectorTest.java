package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class IsolationDetectorTest {

  private long storeAnsweredAt;
  private final IsolationDetector detector = new IsolationDetector(time -> storeAnsweredAt >= time);

  @Test
  void hostWithoutMajorityAndStoreIsIsolatedAfterSecondPoll() {
    assertThat(detector.hostsPolled(1_000, 4, 1, false)).isFalse();
    assertThat(detector.hostsPolled(2_000, 4, 1, false)).isTrue();
  }

  @Test
  void hostInContactWithTheStoreIsNotIsolated() {
    detector.hostsPolled(1_000, 4, 1, false);
    storeAnsweredAt = 1_500;
    assertThat(detector.hostsPolled(2_000, 4, 1, false)).isFalse();
  }

  @Test
  void storeOutageCountsFromTheLastAnswer() {
    detector.hostsPolled(1_000, 4, 1, false);
    storeAnsweredAt = 1_500;
    detector.hostsPolled(2_000, 4, 1, false);
    assertThat(detector.hostsPolled(3_000, 4, 1, false)).isTrue();
  }

  @Test
  void hostInContactWithMajorityIsNotIsolated() {
    detector.hostsPolled(1_000, 4, 1, false);
    assertThat(detector.hostsPolled(2_000, 4, 2, false)).isFalse();
    assertThat(detector.hostsPolled(3_000, 4, 1, false)).isFalse();
  }

  @Test
  void hostInContactWithTheLeaderIsNotIsolated() {
    detector.hostsPolled(1_000, 4, 1, false);
    assertThat(detector.hostsPolled(2_000, 4, 1, true)).isFalse();
    detector.hostsPolled(3_000, 4, 1, false);
    detector.heartbeatReceived();
    assertThat(detector.hostsPolled(4_000, 4, 1, false)).isFalse();
  }

  @Test
  void onlyHostIsNeverIsolated() {
    detector.hostsPolled(1_000, 0, 0, false);
    assertThat(detector.hostsPolled(2_000, 0, 0, false)).isFalse();
  }

  @Test
  void domainWithoutStoreAndOtherDomainsIsIsolatedAfterOnePoll() {
    storeAnsweredAt = 550_000;
    assertThat(detector.domainsPolled(500_000, 950_000, 0, false)).isTrue();
  }

  @Test
  void domainWithAnyAnswerFromOutsideIsNotIsolated() {
    assertThat(detector.domainsPolled(500_000, 950_000, 1, false)).isFalse();
    assertThat(detector.domainsPolled(500_000, 950_000, 0, true)).isFalse();
    storeAnsweredAt = 700_000;
    assertThat(detector.domainsPolled(500_000, 950_000, 0, false)).isFalse();
  }

  /** A broken link may start a poll before the next heartbeat is due. */
  @Test
  void storeThatAnswersThePollIsAvailable() {
    storeAnsweredAt = 530_000;
    assertThat(detector.domainsPolled(500_000, 520_000, 0, false)).isFalse();
  }
}
