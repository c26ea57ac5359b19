package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ElectionTest {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final ElectionTimeouts TIMEOUTS =
      new ElectionTimeouts(
          450 * MICROS_PER_MILLI,
          600 * MICROS_PER_MILLI,
          400 * MICROS_PER_MILLI,
          200 * MICROS_PER_MILLI,
          30 * MICROS_PER_MILLI);
  private static final HostCapacity SMALL = new HostCapacity(500);
  private static final Map<String, HostCapacity> HOSTS =
      Map.of("a", SMALL, "b", SMALL, "c", SMALL, "d", SMALL, "e", SMALL);

  private long now = 1_000 * MICROS_PER_MILLI;
  private final Election election = new Election("b", 7, TIMEOUTS, now);

  private List<ElectionAction> step(long millis, ElectionEvent event) {
    now += millis * MICROS_PER_MILLI;
    return election.step(now, event);
  }

  private List<ElectionAction> tick(long millis) {
    return step(millis, new ElectionEvent.Tick());
  }

  @BeforeEach
  void register() {
    step(0, new ElectionEvent.HostsListed(HOSTS));
  }

  private void follow() {
    step(1, new ElectionEvent.RecordRead(9, new LeaderRecord("a", 1), now));
    step(1, new ElectionEvent.HeartbeatReceived(9, "a"));
  }

  private void lead(long term) {
    step(1, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(300)).containsExactly(new ElectionAction.AcquireRecord(0));
    assertThat(step(5, new ElectionEvent.RecordAcquired(term)))
        .containsExactly(new ElectionAction.BecomeLeader(term, false));
  }

  /** Confirms a heartbeat that was sent at the time of the confirmation. */
  private void confirm(long millis, String host) {
    step(millis, new ElectionEvent.HeartbeatConfirmed(host, now + millis * MICROS_PER_MILLI));
  }

  @Test
  void acquiresAbsentRecordAfterDelayOfItsRank() {
    step(0, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(10)).isEmpty();
    assertThat(tick(30)).containsExactly(new ElectionAction.AcquireRecord(0));
  }

  /**
   * The watch may report the new record before the write is answered. A host that handled both
   * would start two terms with the same fencing token.
   */
  @Test
  void leadsOnceIfTheWatchReportsItsRecordBeforeTheWriteIsAnswered() {
    step(1, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(300)).containsExactly(new ElectionAction.AcquireRecord(0));
    assertThat(step(4, new ElectionEvent.RecordRead(12, new LeaderRecord("b", 7), now)))
        .containsExactly(new ElectionAction.BecomeLeader(12, false));
    assertThat(step(3, new ElectionEvent.RecordAcquired(12))).isEmpty();
    assertThat(election.leadingTerm()).isEqualTo(12);
  }

  private void registerCapacity(String host, long startsPerSecond) {
    Map<String, HostCapacity> hosts = new HashMap<>(HOSTS);
    hosts.put(host, new HostCapacity(startsPerSecond));
    step(0, new ElectionEvent.HostsListed(hosts));
  }

  @Test
  void hostWithMoreCapacityComesFirst() {
    registerCapacity("e", 900);
    step(0, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(40)).isEmpty();
    assertThat(tick(30)).containsExactly(new ElectionAction.AcquireRecord(0));
  }

  @Test
  void hostWithMostCapacityActsAtOnce() {
    registerCapacity("b", 900);
    step(0, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(0)).containsExactly(new ElectionAction.AcquireRecord(0));
  }

  @Test
  void hostWithUnknownCapacityComesLast() {
    registerCapacity("b", 0);
    step(0, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(110)).isEmpty();
    assertThat(tick(10)).containsExactly(new ElectionAction.AcquireRecord(0));
  }

  /**
   * A host that had just started took itself for a majority and replaced a leader that was alive.
   */
  @Test
  void hostThatKnowsNoOthersDoesNotReplaceTheLeader() {
    Election started = new Election("b", 8, TIMEOUTS, now);
    started.step(now, new ElectionEvent.HeartbeatReceived(9, "a"));
    started.step(now, new ElectionEvent.LeaderLinkLost(9));
    assertThat(started.step(now, new ElectionEvent.Tick()))
        .containsExactly(new ElectionAction.PollHosts());
    assertThat(started.step(now, new ElectionEvent.HostsPolled(0, false, false)))
        .containsExactly(new ElectionAction.ReadRecord());
  }

  @Test
  void onlyHostReplacesTheLeaderOnceTheHostsAreListed() {
    Election started = new Election("b", 8, TIMEOUTS, now);
    started.step(now, new ElectionEvent.HostsListed(Map.of("b", SMALL)));
    started.step(now, new ElectionEvent.HeartbeatReceived(9, "a"));
    started.step(now, new ElectionEvent.LeaderLinkLost(9));
    started.step(now, new ElectionEvent.Tick());
    assertThat(started.step(now, new ElectionEvent.HostsPolled(0, false, false)))
        .containsExactly(new ElectionAction.AcquireRecord(9));
  }

  @Test
  void suspectedLeaderIsExcludedFromTheRanking() {
    registerCapacity("a", 900);
    follow();
    step(0, new ElectionEvent.LeaderLinkLost(9));
    assertThat(tick(1)).containsExactly(new ElectionAction.PollHosts());
  }

  @Test
  void staysFollowerWhileHeartbeatsArrive() {
    follow();
    for (int i = 0; i < 50; i++) {
      assertThat(step(100, new ElectionEvent.HeartbeatReceived(9, "a"))).isEmpty();
      assertThat(tick(1)).isEmpty();
    }
  }

  @Test
  void acquiresRecordAfterSuspicionOnlyIfMajorityAnswers() {
    follow();
    assertThat(tick(440)).isEmpty();
    assertThat(tick(20)).containsExactly(new ElectionAction.PollHosts());
    assertThat(step(5, new ElectionEvent.HostsPolled(1, false, false)))
        .containsExactly(new ElectionAction.ReadRecord());
    assertThat(tick(300)).containsExactly(new ElectionAction.PollHosts());
    assertThat(step(5, new ElectionEvent.HostsPolled(2, false, false)))
        .containsExactly(new ElectionAction.AcquireRecord(9));
    assertThat(step(5, new ElectionEvent.RecordAcquired(12)))
        .containsExactly(new ElectionAction.BecomeLeader(12, false));
  }

  @Test
  void doesNotAcquireRecordIfAnotherHostIsInContactWithTheLeader() {
    follow();
    step(0, new ElectionEvent.LeaderLinkLost(9));
    assertThat(tick(40)).containsExactly(new ElectionAction.PollHosts());
    assertThat(step(5, new ElectionEvent.HostsPolled(4, true, false))).isEmpty();
  }

  @Test
  void reportsThatThePreviousLeadersProcessHasStopped() {
    follow();
    step(0, new ElectionEvent.LeaderLinkLost(9));
    tick(40);
    step(5, new ElectionEvent.HostsPolled(3, false, true));
    assertThat(step(5, new ElectionEvent.RecordAcquired(12)))
        .containsExactly(new ElectionAction.BecomeLeader(12, true));
  }

  @Test
  void readsTheRecordWhenTheReplyToItsWriteIsLost() {
    step(1, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(300)).containsExactly(new ElectionAction.AcquireRecord(0));
    assertThat(step(500, new ElectionEvent.AcquireFailed()))
        .containsExactly(new ElectionAction.ReadRecord());
    assertThat(step(5, new ElectionEvent.RecordRead(30, new LeaderRecord("b", 7), now)))
        .containsExactly(new ElectionAction.BecomeLeader(30, false));
  }

  @Test
  void earlierIncarnationOfItsProcessIsNoLeader() {
    step(1, new ElectionEvent.RecordRead(30, new LeaderRecord("b", 6), now));
    assertThat(election.leadingTerm()).isEqualTo(0);
    assertThat(tick(1)).containsExactly(new ElectionAction.AcquireRecord(30));
  }

  @Test
  void stepsDownWhenTheRecordNamesAnother() {
    lead(20);
    assertThat(step(5, new ElectionEvent.RecordRead(40, new LeaderRecord("c", 1), now)))
        .containsExactly(new ElectionAction.StepDown(20, "the record names another leader"));
  }

  @Test
  void stepsDownOutOfContactWithinTheContactTimeout() {
    lead(20);
    for (int i = 0; i < 10; i++) {
      confirm(90, "a");
      confirm(0, "c");
      assertThat(tick(10)).isEmpty();
    }
    confirm(290, "a");
    assertThat(tick(50)).containsExactly(new ElectionAction.ReadRecord());
    tick(150);
    List<ElectionAction> end = tick(130);
    assertThat(end).hasSize(1);
    assertThat(end.get(0)).isInstanceOf(ElectionAction.StepDown.class);
  }

  @Test
  void sendsNoOrdersOutOfContactEvenBeforeItStepsDown() {
    lead(20);
    confirm(5, "a");
    confirm(0, "c");
    assertThat(election.mayOrder(now + 600 * MICROS_PER_MILLI)).isTrue();
    assertThat(election.mayOrder(now + 601 * MICROS_PER_MILLI)).isFalse();
    step(5, new ElectionEvent.StepDownRequired("the process was suspended"));
    assertThat(election.mayOrder(now)).isFalse();
  }

  @Test
  void startsNoRunsOnceHostsMayElectAnotherLeader() {
    lead(20);
    confirm(500, "a");
    confirm(0, "c");
    assertThat(election.mayStart(now + 400 * MICROS_PER_MILLI)).isTrue();
    assertThat(election.mayStart(now + 401 * MICROS_PER_MILLI)).isFalse();
    assertThat(election.mayOrder(now + 401 * MICROS_PER_MILLI)).isTrue();
  }

  @Test
  void confirmationCountsFromWhenItsHeartbeatWasSent() {
    lead(20);
    final long sentAt = now + 100 * MICROS_PER_MILLI;
    step(400, new ElectionEvent.HeartbeatConfirmed("a", sentAt));
    step(0, new ElectionEvent.HeartbeatConfirmed("c", sentAt));
    assertThat(election.mayStart(now + 100 * MICROS_PER_MILLI)).isTrue();
    assertThat(election.mayStart(now + 101 * MICROS_PER_MILLI)).isFalse();
  }

  @Test
  void confirmedRecordAllowsStartsForShorterTime() {
    lead(20);
    assertThat(tick(310)).containsExactly(new ElectionAction.ReadRecord());
    assertThat(election.mayStart(now)).isFalse();
    step(50, new ElectionEvent.RecordRead(20, new LeaderRecord("b", 7), now));
    assertThat(election.mayStart(now + 150 * MICROS_PER_MILLI)).isTrue();
    assertThat(election.mayStart(now + 151 * MICROS_PER_MILLI)).isFalse();
  }

  @Test
  void brokenConnectionDoesNotMeanThatTheLeaderFailed() {
    follow();
    step(5, new ElectionEvent.LeaderLinkLost(9));
    assertThat(election.canReachLeader(now)).isFalse();
    assertThat(election.isLeaderAlive(now)).isTrue();
    tick(40);
    assertThat(step(5, new ElectionEvent.HostsPolled(4, true, true)))
        .containsExactly(new ElectionAction.AcquireRecord(9));
  }

  @Test
  void newRegistrationsDoNotEndTheLeadersContact() {
    lead(20);
    confirm(2_000, "a");
    confirm(0, "c");
    Map<String, HostCapacity> more = new HashMap<>(HOSTS);
    more.put("f", SMALL);
    more.put("g", SMALL);
    step(50, new ElectionEvent.HostsListed(more));
    assertThat(tick(10)).isEmpty();
    assertThat(election.mayStart(now)).isTrue();
    assertThat(tick(200)).containsExactly(new ElectionAction.ReadRecord());
    assertThat(election.leadingTerm()).isEqualTo(20);
  }

  @Test
  void staysLeaderWithConfirmedRecordAlone() {
    lead(20);
    for (int i = 0; i < 20; i++) {
      tick(310);
      step(5, new ElectionEvent.RecordRead(20, new LeaderRecord("b", 7), now));
    }
    assertThat(election.leadingTerm()).isEqualTo(20);
  }

  @Test
  void acquiresItsRecordAgainWhenItHasExpired() {
    lead(20);
    assertThat(step(5, new ElectionEvent.RecordRead(50, null, now)))
        .containsExactly(new ElectionAction.AcquireRecord(0));
    assertThat(step(5, new ElectionEvent.RecordAcquired(51)))
        .containsExactly(new ElectionAction.BecomeLeader(51, false));
  }

  @Test
  void followerOfLeaderWithoutRecordStaysFollower() {
    follow();
    step(5, new ElectionEvent.RecordRead(50, null, now));
    for (int i = 0; i < 20; i++) {
      step(100, new ElectionEvent.HeartbeatReceived(9, "a"));
      assertThat(tick(1)).isEmpty();
    }
  }

  @Test
  void hostThatShutsDownNeverAcquiresTheRecord() {
    lead(20);
    assertThat(step(1, new ElectionEvent.ShutdownStarted())).isEmpty();
    assertThat(election.leadingTerm()).isEqualTo(20);
    step(1, new ElectionEvent.RecordRead(60, new LeaderRecord("c", 1), now));
    assertThat(tick(5_000)).isEmpty();
    assertThat(step(1, new ElectionEvent.HandOverRequested(60))).isEmpty();
  }

  @Test
  void acquiresTheRecordAtOnceWhenTheLeaderHandsOver() {
    follow();
    assertThat(step(1, new ElectionEvent.HandOverRequested(9)))
        .containsExactly(new ElectionAction.AcquireRecord(9));
  }

  /** The watch may report the record and the term may end before the write is answered. */
  @Test
  void doesNotRestartAnEndedTermWhenItsWriteIsAnsweredLate() {
    step(1, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(300)).containsExactly(new ElectionAction.AcquireRecord(0));
    assertThat(step(4, new ElectionEvent.RecordRead(12, new LeaderRecord("b", 7), 0)))
        .containsExactly(new ElectionAction.BecomeLeader(12, false));
    assertThat(step(5, new ElectionEvent.StepDownRequired("the process was suspended"))).hasSize(1);
    assertThat(step(5, new ElectionEvent.RecordAcquired(12))).isEmpty();
    assertThat(election.leadingTerm()).isEqualTo(0);
  }

  /** The record is known to name this host only as of the write, not as of the late answer. */
  @Test
  void lateAnswerToItsWriteDoesNotExtendTheConfirmation() {
    step(1, new ElectionEvent.RecordRead(2, null, now));
    tick(300);
    step(4, new ElectionEvent.RecordRead(12, new LeaderRecord("b", 7), 0));
    step(450, new ElectionEvent.RecordAcquired(12));
    assertThat(election.mayStart(now)).isFalse();
  }

  /** That the leader of one term has stopped says nothing about the leader of a later term. */
  @Test
  void discardsThatTheLeaderStoppedWhenAnotherOneLed() {
    follow();
    step(0, new ElectionEvent.LeaderLinkLost(9));
    tick(40);
    assertThat(step(5, new ElectionEvent.HostsPolled(3, false, true)))
        .containsExactly(new ElectionAction.AcquireRecord(9));
    step(5, new ElectionEvent.AcquireFailed());
    step(5, new ElectionEvent.RecordRead(11, new LeaderRecord("c", 1), now));
    step(5, new ElectionEvent.HeartbeatReceived(11, "c"));
    assertThat(step(9_000, new ElectionEvent.HandOverRequested(11)))
        .containsExactly(new ElectionAction.AcquireRecord(11));
    assertThat(step(5, new ElectionEvent.RecordAcquired(14)))
        .containsExactly(new ElectionAction.BecomeLeader(14, false));
  }

  /** Registrations expire when the store is unavailable although their hosts are still running. */
  @Test
  void isOutOfContactEvenIfTheOtherRegistrationsHaveExpired() {
    lead(5);
    confirm(50, "a");
    confirm(1, "c");
    step(10, new ElectionEvent.HostsListed(Map.of("b", SMALL)));
    // From here on neither hosts nor the store answer.
    now += 3_000 * MICROS_PER_MILLI;
    assertThat(election.mayOrder(now)).isFalse();
    tick(25);
    assertThat(election.mayStart(now)).isFalse();
  }

  /** One response of the watch may report all registrations as expired and then as renewed. */
  @Test
  void temporarilyEmptyHostListIsNoContact() {
    lead(5);
    step(550, new ElectionEvent.HostsListed(Map.of()));
    step(0, new ElectionEvent.HostsListed(HOSTS));
    assertThat(election.mayStart(now)).isFalse();
  }

  /** A majority of the few hosts that are registered again is no majority of the running hosts. */
  @Test
  void hostWithExpiredRegistrationStillCountsForLimitedTime() {
    lead(5);
    step(10, new ElectionEvent.HostsListed(Map.of("a", SMALL, "b", SMALL)));
    for (int i = 0; i < 7; i++) {
      confirm(100, "a");
    }
    assertThat(election.mayOrder(now)).isFalse();
    confirm(10_000, "a");
    assertThat(election.mayOrder(now)).isTrue();
  }
}
