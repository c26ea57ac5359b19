package org.marjoramhoist.lead;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The election state machine of one host, which elects a leader for its failure domain while the
 * domain is isolated from the other hosts and from the store.
 *
 * <p>A candidate sends heartbeats to the hosts of its domain. It leads once more than half of them
 * accept it, and for as long as they do. Nothing is persisted.
 *
 * <p>Invariants: a host accepts one candidate at a time. It accepts another only if the first has
 * handed over, or has sent no heartbeat for longer than it may lead without this host's
 * confirmation. No host is a candidate, leads or is accepted while the partition's leader is in
 * contact. A host that knows no workers is no candidate. A leader that hands over starts no more
 * runs. Confined to one thread.
 */
public final class DomainElection {

  /** How long a host counts as isolated after it was last found to be. */
  private static final long ISOLATION_VALID_MICROS = 1_200_000;

  /** How long a candidate waits for a majority to accept it. */
  private static final long CANDIDACY_TIMEOUT_MICROS = 1_000_000;

  /** How long a host that was asked to step down waits before it becomes a candidate again. */
  private static final long STEP_DOWN_BACKOFF_MICROS = 2_000_000;

  /**
   * How long a host stays bound to the candidate it accepted, beyond the candidate's own contact
   * timeout.
   */
  private static final long ACCEPT_MARGIN_MICROS = 150_000;

  /** How long a leader that has handed over still manages its active runs. */
  private static final long HAND_OVER_MICROS = 1_000_000;

  /** A time before all others; half of the minimum, so that adding a timeout can't overflow. */
  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private final String self;
  private final ElectionTimeouts timeouts;
  private final long startedAt;
  private final Map<String, Long> confirmedAt = new HashMap<>();
  private Map<String, HostCapacity> members = Map.of();
  private long isolatedSince;
  private long lastIsolatedAt;
  private boolean shuttingDown;
  private boolean knowsWorkers = true;
  private boolean storeReachedSinceStart;
  private long partitionLeaderActiveAt = NEVER_MICROS;
  private String acceptedCandidate = "";
  private long acceptedAt;
  private boolean candidacyActive;
  private long candidateSince;
  private boolean leading;
  private long leadingSince;
  private boolean handingOver;
  private long handOverUntil;
  private long nextCandidacyAt;

  /**
   * Creates the state machine of a host.
   *
   * @param self the host
   * @param timeouts the timeouts
   * @param startedAt when the host's process started, in microseconds on its monotonic clock
   */
  public DomainElection(String self, ElectionTimeouts timeouts, long startedAt) {
    this.self = self;
    this.timeouts = timeouts;
    this.startedAt = startedAt;
  }

  /** Sets the hosts of the failure domain, including this one, and their capacities. */
  public void setMembers(Map<String, HostCapacity> hosts) {
    members = Map.copyOf(hosts);
  }

  /** Returns the other hosts of the failure domain. */
  public Set<String> otherMembers() {
    return members.keySet().stream()
        .filter(host -> !host.equals(self))
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Records that this host's failure domain was found to be isolated.
   *
   * @return whether this starts a new isolation
   */
  public boolean markIsolated(long now) {
    boolean starts = !isIsolated(now);
    if (starts) {
      isolatedSince = now;
    }
    lastIsolatedAt = now;
    return starts;
  }

  /** Records that this host is shutting down; it never becomes a candidate again. */
  public void beginShutdown() {
    shuttingDown = true;
  }

  /** Sets whether this host knows workers of its domain. */
  public void setKnowsWorkers(boolean knows) {
    knowsWorkers = knows;
  }

  /** Records that the store has answered this host since its process started. */
  public void markStoreReached() {
    storeReachedSinceStart = true;
  }

  /**
   * Handles a heartbeat of the partition's leader, or the start of this host's own leadership of
   * the partition.
   */
  public List<DomainAction> partitionLeaderActive(long now) {
    partitionLeaderActiveAt = now;
    lastIsolatedAt = 0;
    acceptedCandidate = "";
    return stepDown("the partition's leader is heard");
  }

  /** Ends leadership or candidacy because this host can't lead its domain. */
  public List<DomainAction> requestStepDown(long now, String reason) {
    nextCandidacyAt = now + STEP_DOWN_BACKOFF_MICROS;
    return stepDown(reason);
  }

  /** Returns whether this host leads its domain. */
  public boolean isLeading() {
    return leading;
  }

  /** Returns whether this host has handed over and still manages its active runs. */
  public boolean isHandingOver() {
    return handingOver;
  }

  /** Returns whether this host may send orders to workers, as leader or while it hands over. */
  public boolean mayOrder(long now) {
    boolean inContact =
        leading && now <= majorityConfirmedAt(now) + timeouts.contactTimeoutMicros();
    return inContact || handingOver && now <= handOverUntil;
  }

  /** Returns whether this host leads its domain and may start new runs. */
  public boolean mayStart(long now) {
    return leading && now <= majorityConfirmedAt(now) + timeouts.startTimeoutMicros();
  }

  /**
   * Returns whether no other leader can be using the domain's workers. The hosts that elected this
   * one had confirmed no heartbeat of the partition's leader for longer than it may start runs
   * without (see {@link DomainExclusivity}); what it had ordered until then must be over too. A
   * single host has nobody to confirm that its whole domain is isolated.
   *
   * @param runMicros how long a run may go on after the last order of its leader
   */
  public boolean isExclusive(long now, long runMicros) {
    return leading && !otherMembers().isEmpty() && now - leadingSince > runMicros;
  }

  /**
   * Hands over to a host that accepts this one. From now on this host starts no runs, and manages
   * its active runs for {@link #HAND_OVER_MICROS}.
   */
  public List<DomainAction> handOver(long now, String successor) {
    if (!leading) {
      return List.of();
    }
    leading = false;
    handingOver = true;
    handOverUntil = now + HAND_OVER_MICROS;
    acceptedCandidate = successor;
    acceptedAt = now;
    return List.of(new DomainAction.HandOver(successor));
  }

  /**
   * Handles the hand-over of the leader that this host accepts, which makes the host free to accept
   * the successor. The successor becomes a candidate at once, regardless of its rank.
   */
  public List<DomainAction> leaderHandedOver(long now, String from, String successor) {
    if (!from.equals(acceptedCandidate) || leading || candidacyActive) {
      return List.of();
    }
    acceptedCandidate = successor;
    acceptedAt = now;
    boolean becomesCandidate = successor.equals(self) && mayLead() && isIsolated(now);
    return becomesCandidate ? startCandidacy(now) : List.of();
  }

  /**
   * Handles a candidate's heartbeat.
   *
   * @return whether this host accepts the candidate
   */
  public boolean acceptCandidate(long now, String candidate) {
    boolean isolated = isIsolated(now) || startedWhileIsolated(now);
    if (!isolated || leading || candidacyActive && !outranksSelf(candidate)) {
      return false;
    }
    boolean free = now - acceptedAt > timeouts.contactTimeoutMicros() + ACCEPT_MARGIN_MICROS;
    if (!candidate.equals(acceptedCandidate) && !acceptedCandidate.isEmpty() && !free) {
      return false;
    }
    acceptedCandidate = candidate;
    acceptedAt = now;
    return true;
  }

  /**
   * Handles a host's acceptance of this candidate's heartbeat.
   *
   * @param sentAt when the accepted heartbeat was sent
   */
  public List<DomainAction> heartbeatAccepted(long now, String host, long sentAt) {
    confirmedAt.merge(host, sentAt, Math::max);
    return candidacyActive ? leadIfMajorityAccepted(now) : List.of();
  }

  /** Checks all timeouts and returns the actions that are due. */
  public List<DomainAction> tick(long now) {
    if (handingOver) {
      return now > handOverUntil ? stepDown("handed over") : List.of();
    }
    if (leading) {
      boolean lost = now > majorityConfirmedAt(now) + timeouts.contactTimeoutMicros();
      return lost ? stepDown("lost contact with most hosts of the domain") : List.of();
    }
    if (candidacyActive) {
      return checkCandidacy(now);
    }
    return canStartCandidacy(now) ? startCandidacy(now) : List.of();
  }

  private boolean isIsolated(long now) {
    return lastIsolatedAt != 0 && now - lastIsolatedAt <= ISOLATION_VALID_MICROS;
  }

  /**
   * Returns whether the store has not answered since this host started, and the partition's leader
   * is not in contact. This host may have accepted a candidate before a restart, so it accepts none
   * until that acceptance has expired; otherwise one host could count towards two majorities.
   */
  private boolean startedWhileIsolated(long now) {
    boolean silent = now - partitionLeaderActiveAt > timeouts.suspicionTimeoutMicros();
    boolean settled = now - startedAt > timeouts.contactTimeoutMicros() + ACCEPT_MARGIN_MICROS;
    return !storeReachedSinceStart && silent && settled;
  }

  /** Returns whether this host could lead its domain if the domain is isolated. */
  public boolean mayLead() {
    return !shuttingDown && knowsWorkers;
  }

  private boolean canStartCandidacy(long now) {
    boolean leaderless =
        acceptedCandidate.isEmpty() || now - acceptedAt > timeouts.suspicionTimeoutMicros();
    return mayLead()
        && isIsolated(now)
        && leaderless
        && now >= nextCandidacyAt
        && now - isolatedSince >= rank() * timeouts.rankDelayMicros();
  }

  private List<DomainAction> startCandidacy(long now) {
    candidacyActive = true;
    candidateSince = now;
    acceptedCandidate = "";
    confirmedAt.clear();
    if (otherMembers().isEmpty()) {
      return leadIfMajorityAccepted(now);
    }
    return List.of(new DomainAction.StartCandidacy());
  }

  private List<DomainAction> checkCandidacy(long now) {
    boolean yields = !acceptedCandidate.isEmpty();
    boolean timedOut = now - candidateSince > CANDIDACY_TIMEOUT_MICROS;
    if (isIsolated(now) && !yields && !timedOut) {
      return List.of();
    }
    nextCandidacyAt = now + (1 + rank()) * timeouts.rankDelayMicros();
    return stepDown(
        yields ? "another candidate was accepted" : "not accepted by most hosts of the domain");
  }

  private List<DomainAction> leadIfMajorityAccepted(long now) {
    boolean yields = !acceptedCandidate.isEmpty();
    if (yields || now > majorityConfirmedAt(now) + timeouts.startTimeoutMicros()) {
      return List.of();
    }
    candidacyActive = false;
    leading = true;
    leadingSince = now;
    return List.of(new DomainAction.BecomeLeader());
  }

  private List<DomainAction> stepDown(String reason) {
    if (!candidacyActive && !leading && !handingOver) {
      return List.of();
    }
    candidacyActive = false;
    leading = false;
    handingOver = false;
    return List.of(new DomainAction.StepDown(reason));
  }

  private int rank() {
    int rank = 0;
    for (String other : otherMembers()) {
      rank += outranksSelf(other) ? 1 : 0;
    }
    return rank;
  }

  /** Returns whether a host has more capacity than this one, or the same and a lower name. */
  private boolean outranksSelf(String other) {
    HostCapacity own = members.getOrDefault(self, HostCapacity.UNKNOWN);
    int order = members.getOrDefault(other, HostCapacity.UNKNOWN).compareTo(own);
    return order > 0 || order == 0 && other.compareTo(self) < 0;
  }

  /**
   * Returns the latest time since which more than half of the domain's hosts, including this one,
   * have confirmed a heartbeat.
   */
  private long majorityConfirmedAt(long now) {
    Set<String> others = otherMembers();
    if (others.isEmpty()) {
      return now;
    }
    return Majority.confirmedSince(confirmedAt, others).orElse(NEVER_MICROS);
  }
}
