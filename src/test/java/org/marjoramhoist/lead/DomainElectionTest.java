package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The election of a leader within an isolated failure domain. */
class DomainElectionTest {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final ElectionTimeouts TIMEOUTS =
      new ElectionTimeouts(
          450 * MICROS_PER_MILLI,
          600 * MICROS_PER_MILLI,
          400 * MICROS_PER_MILLI,
          200 * MICROS_PER_MILLI,
          30 * MICROS_PER_MILLI);
  private static final HostCapacity EQUAL = new HostCapacity(100);
  private static final Map<String, HostCapacity> THREE = Map.of("a", EQUAL, "b", EQUAL, "c", EQUAL);

  private long now = 50_000 * MICROS_PER_MILLI;

  private DomainElection host(String name, Map<String, HostCapacity> members) {
    DomainElection election = new DomainElection(name, TIMEOUTS, now - 10_000 * MICROS_PER_MILLI);
    election.markStoreReached();
    election.setMembers(members);
    return election;
  }

  private DomainElection leaderOfThree() {
    DomainElection election = host("a", THREE);
    election.markIsolated(now);
    assertThat(election.tick(now)).containsExactly(new DomainAction.StartCandidacy());
    assertThat(election.heartbeatAccepted(now, "b", now))
        .containsExactly(new DomainAction.BecomeLeader());
    return election;
  }

  /** What the partition's leader ordered before its hosts fell silent may go on for so long. */
  @Test
  void leaderIsExclusiveOnceRunsOfThePartitionsLeaderAreOver() {
    DomainElection election = leaderOfThree();
    long runMicros = 1_300 * MICROS_PER_MILLI;
    assertThat(election.isExclusive(now + runMicros, runMicros)).isFalse();
    assertThat(election.isExclusive(now + runMicros + 1, runMicros)).isTrue();
    election.requestStepDown(now + runMicros + 1, "test");
    assertThat(election.isExclusive(now + 2 * runMicros, runMicros)).isFalse();
  }

  /** A single host that is cut off from the others can't tell that from a cut of its domain. */
  @Test
  void singleHostIsNeverExclusive() {
    DomainElection election = host("a", Map.of("a", EQUAL));
    election.markIsolated(now);
    assertThat(election.tick(now)).containsExactly(new DomainAction.BecomeLeader());
    assertThat(election.isExclusive(now + 60_000 * MICROS_PER_MILLI, 0)).isFalse();
  }

  @Test
  void hostThatIsNotIsolatedIsNoCandidateAndAcceptsNone() {
    DomainElection election = host("a", THREE);
    assertThat(election.tick(now)).isEmpty();
    assertThat(election.acceptCandidate(now, "b")).isFalse();
  }

  @Test
  void hostThatKnowsNoWorkersIsNoCandidateAndAcceptsOthers() {
    DomainElection election = host("a", THREE);
    election.setKnowsWorkers(false);
    election.markIsolated(now);
    assertThat(election.tick(now)).isEmpty();
    assertThat(election.mayLead()).isFalse();
    assertThat(election.acceptCandidate(now, "b")).isTrue();
    assertThat(election.leaderHandedOver(now, "b", "a")).isEmpty();
  }

  @Test
  void leadsOnceMajorityOfTheDomainAccepts() {
    Map<String, HostCapacity> five =
        Map.of("a", EQUAL, "b", EQUAL, "c", EQUAL, "d", EQUAL, "e", EQUAL);
    DomainElection election = host("a", five);
    election.markIsolated(now);
    election.tick(now);
    assertThat(election.heartbeatAccepted(now, "b", now)).isEmpty();
    assertThat(election.heartbeatAccepted(now, "unknown", now)).isEmpty();
    assertThat(election.mayOrder(now)).isFalse();
    assertThat(election.heartbeatAccepted(now, "c", now))
        .containsExactly(new DomainAction.BecomeLeader());
    assertThat(election.mayStart(now)).isTrue();
  }

  @Test
  void onlyHostOfItsDomainLeadsAtOnce() {
    DomainElection election = host("a", Map.of("a", EQUAL));
    election.markIsolated(now);
    assertThat(election.tick(now)).containsExactly(new DomainAction.BecomeLeader());
    now += 10_000 * MICROS_PER_MILLI;
    assertThat(election.mayOrder(now)).isTrue();
  }

  @Test
  void hostWithMoreCapacityBecomesCandidateFirst() {
    DomainElection small = host("a", Map.of("a", EQUAL, "b", new HostCapacity(500)));
    small.markIsolated(now);
    assertThat(small.tick(now)).isEmpty();
    assertThat(small.acceptCandidate(now, "b")).isTrue();
    now += 31 * MICROS_PER_MILLI;
    assertThat(small.tick(now)).isEmpty();
  }

  @Test
  void acceptsOneCandidateAtTime() {
    DomainElection election = host("c", THREE);
    election.markIsolated(now);
    assertThat(election.acceptCandidate(now, "b")).isTrue();
    assertThat(election.acceptCandidate(now + 600 * MICROS_PER_MILLI, "a")).isFalse();
    // The first candidate may lead for its contact timeout, 600 ms, after it sent the heartbeat.
    assertThat(election.acceptCandidate(now + 800 * MICROS_PER_MILLI, "a")).isTrue();
  }

  @Test
  void candidateYieldsToHigherRankedHost() {
    DomainElection election = host("b", THREE);
    election.markIsolated(now);
    now += 30 * MICROS_PER_MILLI;
    assertThat(election.tick(now)).containsExactly(new DomainAction.StartCandidacy());
    assertThat(election.acceptCandidate(now, "c")).isFalse();
    assertThat(election.acceptCandidate(now, "a")).isTrue();
    assertThat(election.heartbeatAccepted(now, "c", now)).isEmpty();
    List<DomainAction> actions = election.tick(now);
    assertThat(actions)
        .containsExactly(new DomainAction.StepDown("another candidate was accepted"));
  }

  @Test
  void leaderWithoutMajorityStartsNothingAndStepsDown() {
    DomainElection election = leaderOfThree();
    now += 401 * MICROS_PER_MILLI;
    assertThat(election.mayStart(now)).isFalse();
    assertThat(election.mayOrder(now)).isTrue();
    now += 200 * MICROS_PER_MILLI;
    assertThat(election.mayOrder(now)).isFalse();
    assertThat(election.tick(now)).hasSize(1);
    assertThat(election.isLeading()).isFalse();
  }

  @Test
  void leaderStepsDownOnHeartbeatOfPartitionLeader() {
    DomainElection election = leaderOfThree();
    assertThat(election.partitionLeaderActive(now)).hasSize(1);
    assertThat(election.mayOrder(now)).isFalse();
    assertThat(election.tick(now)).isEmpty();
  }

  @Test
  void hostAskedToStepDownWaitsBeforeNextCandidacy() {
    DomainElection election = leaderOfThree();
    assertThat(election.requestStepDown(now, "a worker is at work for another leader")).hasSize(1);
    now += 1_000 * MICROS_PER_MILLI;
    election.markIsolated(now);
    assertThat(election.tick(now)).isEmpty();
    now += 1_001 * MICROS_PER_MILLI;
    election.markIsolated(now);
    assertThat(election.tick(now)).containsExactly(new DomainAction.StartCandidacy());
  }

  @Test
  void hostThatShutsDownDoesNotBecomeCandidate() {
    DomainElection election = host("a", THREE);
    election.beginShutdown();
    election.markIsolated(now);
    assertThat(election.tick(now)).isEmpty();
  }

  @Test
  void hostThatStartedWhileIsolatedAcceptsCandidate() {
    DomainElection election = new DomainElection("b", TIMEOUTS, now);
    // Before a restart the host may have accepted another candidate, which may still lead.
    assertThat(election.acceptCandidate(now + 700 * MICROS_PER_MILLI, "a")).isFalse();
    assertThat(election.acceptCandidate(now + 800 * MICROS_PER_MILLI, "a")).isTrue();
    assertThat(election.acceptCandidate(now + 900 * MICROS_PER_MILLI, "c")).isFalse();
  }

  @Test
  void hostInContactWithStoreOrLeaderAcceptsNoCandidate() {
    now += 10_000 * MICROS_PER_MILLI;
    DomainElection storeReachable = new DomainElection("b", TIMEOUTS, 0);
    storeReachable.markStoreReached();
    assertThat(storeReachable.acceptCandidate(now, "a")).isFalse();
    DomainElection following = new DomainElection("b", TIMEOUTS, 0);
    following.partitionLeaderActive(now);
    assertThat(following.acceptCandidate(now + 449 * MICROS_PER_MILLI, "a")).isFalse();
    assertThat(following.acceptCandidate(now + 451 * MICROS_PER_MILLI, "a")).isTrue();
  }

  @Test
  void leaderThatHandsOverStartsNothingAndManagesItsRunsForLimitedTime() {
    DomainElection election = leaderOfThree();
    assertThat(election.handOver(now, "b")).containsExactly(new DomainAction.HandOver("b"));
    assertThat(election.isLeading()).isFalse();
    assertThat(election.mayStart(now)).isFalse();
    now += 900 * MICROS_PER_MILLI;
    assertThat(election.mayOrder(now)).isTrue();
    assertThat(election.tick(now)).isEmpty();
    now += 101 * MICROS_PER_MILLI;
    assertThat(election.mayOrder(now)).isFalse();
    assertThat(election.tick(now)).containsExactly(new DomainAction.StepDown("handed over"));
  }

  @Test
  void leaderThatHandedOverAcceptsOnlyItsSuccessor() {
    DomainElection election = leaderOfThree();
    election.handOver(now, "b");
    assertThat(election.acceptCandidate(now, "c")).isFalse();
    assertThat(election.acceptCandidate(now, "b")).isTrue();
  }

  @Test
  void successorBecomesCandidateAtOnceAndOthersAcceptIt() {
    DomainElection successor = host("c", THREE);
    successor.markIsolated(now);
    assertThat(successor.acceptCandidate(now, "a")).isTrue();
    assertThat(successor.leaderHandedOver(now, "a", "c"))
        .containsExactly(new DomainAction.StartCandidacy());
    assertThat(successor.heartbeatAccepted(now, "b", now))
        .containsExactly(new DomainAction.BecomeLeader());
    DomainElection other = host("b", THREE);
    other.markIsolated(now);
    other.acceptCandidate(now, "a");
    assertThat(other.acceptCandidate(now, "c")).isFalse();
    assertThat(other.leaderHandedOver(now, "a", "c")).isEmpty();
    assertThat(other.acceptCandidate(now, "c")).isTrue();
  }

  @Test
  void handOverByOtherThanAcceptedLeaderIsIgnored() {
    DomainElection election = host("c", THREE);
    election.markIsolated(now);
    election.acceptCandidate(now, "a");
    assertThat(election.leaderHandedOver(now, "b", "c")).isEmpty();
    assertThat(election.acceptCandidate(now, "b")).isFalse();
  }

  @Test
  void leaderThatHandedOverEndsAtOnceOnHeartbeatOfPartitionLeader() {
    DomainElection election = leaderOfThree();
    election.handOver(now, "b");
    assertThat(election.partitionLeaderActive(now)).hasSize(1);
    assertThat(election.mayOrder(now)).isFalse();
  }
}
