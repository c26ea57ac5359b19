package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ElectionTest {

  private static final long MILLI = 1_000;
  private static final ElectionTimeouts POLICY =
      new ElectionTimeouts(450 * MILLI, 600 * MILLI, 400 * MILLI, 200 * MILLI, 30 * MILLI);
  private static final HostCapacity SMALL = new HostCapacity(500);
  private static final Map<String, HostCapacity> HOSTS =
      Map.of("a", SMALL, "b", SMALL, "c", SMALL, "d", SMALL, "e", SMALL);

  private long now = 1_000 * MILLI;
  private final Election election = new Election("b", 7, POLICY, now);

  private List<ElectionAction> step(long millis, ElectionEvent event) {
    now += millis * MILLI;
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

  /** Has a host confirm a heartbeat that was sent just now. */
  private void confirm(long millis, String host) {
    step(millis, new ElectionEvent.HeartbeatConfirmed(host, now + millis * MILLI));
  }

  @Test
  void takesAbsentRecordAfterItsRank() {
    step(0, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(10)).isEmpty();
    assertThat(tick(30)).containsExactly(new ElectionAction.AcquireRecord(0));
  }

  /** The watch told of the new record before the write was answered: two terms with one token. */
  @Test
  void leadsOnceThoughTheWatchTellsOfItsRecordBeforeTheWriteIsAnswered() {
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
  void hostThatCouldCarryMoreStandsFirst() {
    registerCapacity("e", 900);
    step(0, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(40)).isEmpty();
    assertThat(tick(30)).containsExactly(new ElectionAction.AcquireRecord(0));
  }

  @Test
  void hostThatCouldCarryMostStandsAtOnce() {
    registerCapacity("b", 900);
    step(0, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(0)).containsExactly(new ElectionAction.AcquireRecord(0));
  }

  @Test
  void hostThatTellsNothingOfItsMachineStandsLast() {
    registerCapacity("b", 0);
    step(0, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(110)).isEmpty();
    assertThat(tick(10)).containsExactly(new ElectionAction.AcquireRecord(0));
  }

  @Test
  void largeLeaderThatIsSuspectedTakesNoPlaceInTheOrder() {
    registerCapacity("a", 900);
    follow();
    step(0, new ElectionEvent.LeaderLinkLost(9));
    assertThat(tick(1)).containsExactly(new ElectionAction.PollHosts());
  }

  @Test
  void staysFollowerWhileTheLeaderIsHeard() {
    follow();
    for (int i = 0; i < 50; i++) {
      assertThat(step(100, new ElectionEvent.HeartbeatReceived(9, "a"))).isEmpty();
      assertThat(tick(1)).isEmpty();
    }
  }

  @Test
  void standsAfterSilenceOnlyIfMostHostsAgree() {
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
  void doesNotStandIfAnotherHostHearsTheLeader() {
    follow();
    step(0, new ElectionEvent.LeaderLinkLost(9));
    assertThat(tick(40)).containsExactly(new ElectionAction.PollHosts());
    assertThat(step(5, new ElectionEvent.HostsPolled(4, true, false))).isEmpty();
  }

  @Test
  void tellsThatTheEarlierLeadersProcessHasEnded() {
    follow();
    step(0, new ElectionEvent.LeaderLinkLost(9));
    tick(40);
    step(5, new ElectionEvent.HostsPolled(3, false, true));
    assertThat(step(5, new ElectionEvent.RecordAcquired(12)))
        .containsExactly(new ElectionAction.BecomeLeader(12, true));
  }

  @Test
  void readsBackWhenTheReplyOfItsChangeIsLost() {
    step(1, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(300)).containsExactly(new ElectionAction.AcquireRecord(0));
    assertThat(step(500, new ElectionEvent.AcquireFailed()))
        .containsExactly(new ElectionAction.ReadRecord());
    assertThat(step(5, new ElectionEvent.RecordRead(30, new LeaderRecord("b", 7), now)))
        .containsExactly(new ElectionAction.BecomeLeader(30, false));
  }

  @Test
  void earlierLifeOfItsProcessIsNoLeader() {
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
  void stepsDownOutOfContactWithinTheContactTime() {
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
  void ordersNothingOutOfContactEvenBeforeItStepsDown() {
    lead(20);
    confirm(5, "a");
    confirm(0, "c");
    assertThat(election.mayOrder(now + 600 * MILLI)).isTrue();
    assertThat(election.mayOrder(now + 601 * MILLI)).isFalse();
    step(5, new ElectionEvent.StepDownRequired("suspended"));
    assertThat(election.mayOrder(now)).isFalse();
  }

  @Test
  void startsNothingOnceHostsMayElectAnother() {
    lead(20);
    confirm(500, "a");
    confirm(0, "c");
    assertThat(election.mayStart(now + 400 * MILLI)).isTrue();
    assertThat(election.mayStart(now + 401 * MILLI)).isFalse();
    assertThat(election.mayOrder(now + 401 * MILLI)).isTrue();
  }

  @Test
  void confirmationCountsFromWhenItsHeartbeatWasSent() {
    lead(20);
    final long sentAt = now + 100 * MILLI;
    step(400, new ElectionEvent.HeartbeatConfirmed("a", sentAt));
    step(0, new ElectionEvent.HeartbeatConfirmed("c", sentAt));
    assertThat(election.mayStart(now + 100 * MILLI)).isTrue();
    assertThat(election.mayStart(now + 101 * MILLI)).isFalse();
  }

  @Test
  void recordThatStillNamesItAllowsStartsForShorter() {
    lead(20);
    assertThat(tick(310)).containsExactly(new ElectionAction.ReadRecord());
    assertThat(election.mayStart(now)).isFalse();
    step(50, new ElectionEvent.RecordRead(20, new LeaderRecord("b", 7), now));
    assertThat(election.mayStart(now + 150 * MILLI)).isTrue();
    assertThat(election.mayStart(now + 151 * MILLI)).isFalse();
  }

  @Test
  void brokenConnectionsAreNoSilenceOfTheLeader() {
    follow();
    step(5, new ElectionEvent.LeaderLinkLost(9));
    assertThat(election.canReachLeader(now)).isFalse();
    assertThat(election.isLeaderAlive(now)).isTrue();
    tick(40);
    assertThat(step(5, new ElectionEvent.HostsPolled(4, true, true)))
        .containsExactly(new ElectionAction.AcquireRecord(9));
  }

  @Test
  void hostsThatRegisterDoNotEndTheLeadersContact() {
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
  void staysLeaderOnItsRecordAlone() {
    lead(20);
    for (int i = 0; i < 20; i++) {
      tick(310);
      step(5, new ElectionEvent.RecordRead(20, new LeaderRecord("b", 7), now));
    }
    assertThat(election.leadingTerm()).isEqualTo(20);
  }

  @Test
  void takesItsRecordAgainWhenItHasExpired() {
    lead(20);
    assertThat(step(5, new ElectionEvent.RecordRead(50, null, now)))
        .containsExactly(new ElectionAction.AcquireRecord(0));
    assertThat(step(5, new ElectionEvent.RecordAcquired(51)))
        .containsExactly(new ElectionAction.BecomeLeader(51, false));
  }

  @Test
  void followerOfLeaderWithoutRecordDoesNotStand() {
    follow();
    step(5, new ElectionEvent.RecordRead(50, null, now));
    for (int i = 0; i < 20; i++) {
      step(100, new ElectionEvent.HeartbeatReceived(9, "a"));
      assertThat(tick(1)).isEmpty();
    }
  }

  @Test
  void retiredHostNeverStands() {
    lead(20);
    assertThat(step(1, new ElectionEvent.ShutdownStarted())).isEmpty();
    assertThat(election.leadingTerm()).isEqualTo(20);
    step(1, new ElectionEvent.RecordRead(60, new LeaderRecord("c", 1), now));
    assertThat(tick(5_000)).isEmpty();
    assertThat(step(1, new ElectionEvent.HandOverRequested(60))).isEmpty();
  }

  @Test
  void followsAtOnceWhenTheLeaderHandsOver() {
    follow();
    assertThat(step(1, new ElectionEvent.HandOverRequested(9)))
        .containsExactly(new ElectionAction.AcquireRecord(9));
  }

  /** The watch told of the record, the term ended, and only then the write was answered. */
  @Test
  void doesNotBeginAnEndedTermAgainWhenItsWriteIsAnsweredLate() {
    step(1, new ElectionEvent.RecordRead(2, null, now));
    assertThat(tick(300)).containsExactly(new ElectionAction.AcquireRecord(0));
    assertThat(step(4, new ElectionEvent.RecordRead(12, new LeaderRecord("b", 7), 0)))
        .containsExactly(new ElectionAction.BecomeLeader(12, false));
    assertThat(step(5, new ElectionEvent.StepDownRequired("the process was suspended"))).hasSize(1);
    assertThat(step(5, new ElectionEvent.RecordAcquired(12))).isEmpty();
    assertThat(election.leadingTerm()).isEqualTo(0);
  }

  /** The record was its own when the write took effect, not when the answer came. */
  @Test
  void lateAnswerToItsWriteConfirmsNothingAnew() {
    step(1, new ElectionEvent.RecordRead(2, null, now));
    tick(300);
    step(4, new ElectionEvent.RecordRead(12, new LeaderRecord("b", 7), 0));
    step(450, new ElectionEvent.RecordAcquired(12));
    assertThat(election.mayStart(now)).isFalse();
  }

  /** That the leader of one term is gone says nothing of the leader of a later one. */
  @Test
  void forgetsThatOneLeaderIsGoneWhenAnotherLed() {
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

  /** Registrations lapse with the store while their hosts run on. */
  @Test
  void isOutOfContactThoughTheOtherRegistrationsHaveLapsed() {
    lead(5);
    confirm(50, "a");
    confirm(1, "c");
    step(10, new ElectionEvent.HostsListed(Map.of("b", SMALL)));
    // Then it hears neither hosts nor the store any more.
    now += 3_000 * MILLI;
    assertThat(election.mayOrder(now)).isFalse();
    tick(25);
    assertThat(election.mayStart(now)).isFalse();
  }

  /** One answer of the watch tells of all registrations that lapsed, then of those renewed. */
  @Test
  void passingEmptyListOfHostsIsNoContact() {
    lead(5);
    step(550, new ElectionEvent.HostsListed(Map.of()));
    step(0, new ElectionEvent.HostsListed(HOSTS));
    assertThat(election.mayStart(now)).isFalse();
  }

  /** One of few hosts that are registered again is no majority of those that run. */
  @Test
  void hostWhoseRegistrationLapsedCountsForTime() {
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
