package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The election of a leader within a failure domain that is cut off. */
class DomainElectionTest {

  private static final long MILLI = 1_000;
  private static final ElectionTimeouts POLICY =
      new ElectionTimeouts(450 * MILLI, 600 * MILLI, 400 * MILLI, 200 * MILLI, 30 * MILLI);
  private static final HostCapacity EQUAL = new HostCapacity(100);
  private static final Map<String, HostCapacity> THREE = Map.of("a", EQUAL, "b", EQUAL, "c", EQUAL);

  private long now = 50_000 * MILLI;

  private DomainElection host(String name, Map<String, HostCapacity> members) {
    DomainElection election = new DomainElection(name, POLICY, now - 10_000 * MILLI);
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

  @Test
  void nobodyStandsWhoIsNotCutOff() {
    DomainElection election = host("a", THREE);
    assertThat(election.tick(now)).isEmpty();
    assertThat(election.acceptCandidate(now, "b")).isFalse();
  }

  @Test
  void leadsOnceMostHostsOfTheDomainAccept() {
    Map<String, HostCapacity> five =
        Map.of("a", EQUAL, "b", EQUAL, "c", EQUAL, "d", EQUAL, "e", EQUAL);
    DomainElection election = host("a", five);
    election.markIsolated(now);
    election.tick(now);
    assertThat(election.heartbeatAccepted(now, "b", now)).isEmpty();
    assertThat(election.heartbeatAccepted(now, "stranger", now)).isEmpty();
    assertThat(election.mayOrder(now)).isFalse();
    assertThat(election.heartbeatAccepted(now, "c", now))
        .containsExactly(new DomainAction.BecomeLeader());
    assertThat(election.mayStart(now)).isTrue();
  }

  @Test
  void loneHostOfItsDomainLeadsAtOnce() {
    DomainElection election = host("a", Map.of("a", EQUAL));
    election.markIsolated(now);
    assertThat(election.tick(now)).containsExactly(new DomainAction.BecomeLeader());
    now += 10_000 * MILLI;
    assertThat(election.mayOrder(now)).isTrue();
  }

  @Test
  void orderOfStandingFollowsWhatHostsCarry() {
    DomainElection small = host("a", Map.of("a", EQUAL, "b", new HostCapacity(500)));
    small.markIsolated(now);
    assertThat(small.tick(now)).isEmpty();
    assertThat(small.acceptCandidate(now, "b")).isTrue();
    now += 31 * MILLI;
    assertThat(small.tick(now)).isEmpty();
  }

  @Test
  void acceptsOneCandidateOnly() {
    DomainElection election = host("c", THREE);
    election.markIsolated(now);
    assertThat(election.acceptCandidate(now, "b")).isTrue();
    assertThat(election.acceptCandidate(now + 600 * MILLI, "a")).isFalse();
    // The first may have gone on for its contact time, 600 ms, after the heartbeat was sent.
    assertThat(election.acceptCandidate(now + 800 * MILLI, "a")).isTrue();
  }

  @Test
  void candidateYieldsToOneThatRanksBefore() {
    DomainElection election = host("b", THREE);
    election.markIsolated(now);
    now += 30 * MILLI;
    assertThat(election.tick(now)).containsExactly(new DomainAction.StartCandidacy());
    assertThat(election.acceptCandidate(now, "c")).isFalse();
    assertThat(election.acceptCandidate(now, "a")).isTrue();
    assertThat(election.heartbeatAccepted(now, "c", now)).isEmpty();
    List<DomainAction> actions = election.tick(now);
    assertThat(actions).containsExactly(new DomainAction.StepDown("another host stands"));
  }

  @Test
  void leaderWithoutMostHostsStartsNothingAndStepsDown() {
    DomainElection election = leaderOfThree();
    now += 401 * MILLI;
    assertThat(election.mayStart(now)).isFalse();
    assertThat(election.mayOrder(now)).isTrue();
    now += 200 * MILLI;
    assertThat(election.mayOrder(now)).isFalse();
    assertThat(election.tick(now)).hasSize(1);
    assertThat(election.isLeading()).isFalse();
  }

  @Test
  void leaderStepsDownWhenThePartitionsLeaderIsHeard() {
    DomainElection election = leaderOfThree();
    assertThat(election.partitionLeaderActive(now)).hasSize(1);
    assertThat(election.mayOrder(now)).isFalse();
    assertThat(election.tick(now)).isEmpty();
  }

  @Test
  void hostThatMustNotLeadPausesBeforeItStandsAgain() {
    DomainElection election = leaderOfThree();
    assertThat(election.requestStepDown(now, "a worker has another leader")).hasSize(1);
    now += 1_000 * MILLI;
    election.markIsolated(now);
    assertThat(election.tick(now)).isEmpty();
    now += 1_001 * MILLI;
    election.markIsolated(now);
    assertThat(election.tick(now)).containsExactly(new DomainAction.StartCandidacy());
  }

  @Test
  void hostThatStopsDoesNotStand() {
    DomainElection election = host("a", THREE);
    election.beginShutdown();
    election.markIsolated(now);
    assertThat(election.tick(now)).isEmpty();
  }

  @Test
  void hostThatStartedBehindTheCutAcceptsCandidate() {
    DomainElection election = new DomainElection("b", POLICY, now);
    // Before it started again it may have accepted another candidate, which may still lead.
    assertThat(election.acceptCandidate(now + 700 * MILLI, "a")).isFalse();
    assertThat(election.acceptCandidate(now + 800 * MILLI, "a")).isTrue();
    assertThat(election.acceptCandidate(now + 900 * MILLI, "c")).isFalse();
  }

  @Test
  void hostThatReachesTheStoreOrHearsTheLeaderAcceptsNoCandidate() {
    now += 10_000 * MILLI;
    DomainElection served = new DomainElection("b", POLICY, 0);
    served.markStoreReached();
    assertThat(served.acceptCandidate(now, "a")).isFalse();
    DomainElection led = new DomainElection("b", POLICY, 0);
    led.partitionLeaderActive(now);
    assertThat(led.acceptCandidate(now + 449 * MILLI, "a")).isFalse();
    assertThat(led.acceptCandidate(now + 451 * MILLI, "a")).isTrue();
  }

  @Test
  void leaderThatHandsOverStartsNothingAndLooksAfterItsRunsForBoundedTime() {
    DomainElection election = leaderOfThree();
    assertThat(election.handOver(now, "b")).containsExactly(new DomainAction.HandOver("b"));
    assertThat(election.isLeading()).isFalse();
    assertThat(election.mayStart(now)).isFalse();
    now += 900 * MILLI;
    assertThat(election.mayOrder(now)).isTrue();
    assertThat(election.tick(now)).isEmpty();
    now += 101 * MILLI;
    assertThat(election.mayOrder(now)).isFalse();
    assertThat(election.tick(now)).containsExactly(new DomainAction.StepDown("handed over"));
  }

  @Test
  void leaderThatHandedOverAcceptsItsSuccessorOnly() {
    DomainElection election = leaderOfThree();
    election.handOver(now, "b");
    assertThat(election.acceptCandidate(now, "c")).isFalse();
    assertThat(election.acceptCandidate(now, "b")).isTrue();
  }

  @Test
  void successorStandsAtOnceAndOthersAcceptIt() {
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
  void handOverByAnotherThanTheAcceptedLeaderReleasesNothing() {
    DomainElection election = host("c", THREE);
    election.markIsolated(now);
    election.acceptCandidate(now, "a");
    assertThat(election.leaderHandedOver(now, "b", "c")).isEmpty();
    assertThat(election.acceptCandidate(now, "b")).isFalse();
  }

  @Test
  void leaderThatHandedOverEndsAtOnceWhenThePartitionsLeaderIsHeard() {
    DomainElection election = leaderOfThree();
    election.handOver(now, "b");
    assertThat(election.partitionLeaderActive(now)).hasSize(1);
    assertThat(election.mayOrder(now)).isFalse();
  }
}
