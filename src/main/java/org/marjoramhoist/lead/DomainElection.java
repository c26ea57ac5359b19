package org.marjoramhoist.lead;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One host's part in finding a leader for its failure domain while that is cut off from the other
 * hosts and from the store.
 *
 * <p>A candidate sends heartbeats to the hosts of its domain; it leads once more than half of them
 * accept it, and as long as they do. Nothing is stored. Invariants: a host accepts one candidate at
 * a time, and another only once it has not heard the first for longer than that one may go on
 * without it, or was released by it; none stands, leads or is accepted while the partition's leader
 * is heard. A leader that hands over starts nothing from then on. Confined to one thread.
 */
public final class DomainElection {

  /** How long after it was last found to be cut off a host counts as such. */
  private static final long ISOLATION_VALID_MICROS = 1_200_000;

  /** How long a candidate waits to be accepted. */
  private static final long CANDIDACY_TIMEOUT_MICROS = 1_000_000;

  /** How long a host that gave up leading does not stand. */
  private static final long STEP_DOWN_BACKOFF_MICROS = 2_000_000;

  /** What a host that accepts a candidate waits for it beyond the candidate's contact time. */
  private static final long ACCEPT_MARGIN_MICROS = 150_000;

  /** How long a leader that has handed over looks after the runs that it had at work. */
  private static final long HAND_OVER_MICROS = 1_000_000;

  /** A time before all others, to which time-outs can be added. */
  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private final String self;
  private final ElectionTimeouts policy;
  private final long startedAt;
  private final Map<String, Long> confirmedAt = new HashMap<>();
  private Map<String, HostCapacity> members = Map.of();
  private long isolatedSince;
  private long lastIsolatedAt;
  private boolean shuttingDown;
  private boolean storeReachedSinceStart;
  private long partitionLeaderActiveAt = NEVER_MICROS;
  private String acceptedCandidate = "";
  private long acceptedAt;
  private boolean candidacyActive;
  private long candidateSince;
  private boolean leading;
  private boolean handingOver;
  private long handOverUntil;
  private long nextCandidacyAt;

  /**
   * Creates a host's part.
   *
   * @param self the host
   * @param policy the time-outs
   * @param startedAt when the host's process started
   */
  public DomainElection(String self, ElectionTimeouts policy, long startedAt) {
    this.self = self;
    this.policy = policy;
    this.startedAt = startedAt;
  }

  /** Takes in the hosts of the failure domain, this one among them, and what each could carry. */
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
   * Takes in that this host's failure domain seems to be cut off.
   *
   * @return whether it did not seem so before
   */
  public boolean markIsolated(long now) {
    boolean begins = !isIsolated(now);
    if (begins) {
      isolatedSince = now;
    }
    lastIsolatedAt = now;
    return begins;
  }

  /** Takes in that this host stops: it doesn't stand any more. */
  public void beginShutdown() {
    shuttingDown = true;
  }

  /** Takes in that the store has answered this host since its process started. */
  public void markStoreReached() {
    storeReachedSinceStart = true;
  }

  /** Takes in that the partition's leader was heard, or that this host leads the partition. */
  public List<DomainAction> partitionLeaderActive(long now) {
    partitionLeaderActiveAt = now;
    lastIsolatedAt = 0;
    acceptedCandidate = "";
    return stepDown("the partition's leader is heard");
  }

  /** Takes in that this host can't lead its domain, and returns what must be done. */
  public List<DomainAction> requestStepDown(long now, String reason) {
    nextCandidacyAt = now + STEP_DOWN_BACKOFF_MICROS;
    return stepDown(reason);
  }

  /** Tells whether this host leads its domain. */
  public boolean isLeading() {
    return leading;
  }

  /** Tells whether this host has handed over and still looks after its runs. */
  public boolean isHandingOver() {
    return handingOver;
  }

  /** Tells whether this host leads its domain, or did until it handed over, and may order runs. */
  public boolean mayOrder(long now) {
    boolean inContact = leading && now <= majorityConfirmedAt(now) + policy.contactTimeoutMicros();
    return inContact || handingOver && now <= handOverUntil;
  }

  /** Tells whether this host leads its domain and may start new runs. */
  public boolean mayStart(long now) {
    return leading && now <= majorityConfirmedAt(now) + policy.startTimeoutMicros();
  }

  /**
   * Hands over to a host that accepts this one: starts nothing from now on, and looks after the
   * runs at work for a bounded time.
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
   * Takes in that a leader hands over; a host that accepts it is free to accept the successor. The
   * successor stands at once, whatever its rank.
   */
  public List<DomainAction> leaderHandedOver(long now, String from, String successor) {
    if (!from.equals(acceptedCandidate) || leading || candidacyActive) {
      return List.of();
    }
    acceptedCandidate = successor;
    acceptedAt = now;
    boolean stands = successor.equals(self) && !shuttingDown && isIsolated(now);
    return stands ? startCandidacy(now) : List.of();
  }

  /**
   * Takes in a candidate's heartbeat.
   *
   * @return whether this host accepts the candidate
   */
  public boolean acceptCandidate(long now, String candidate) {
    boolean cutOff = isIsolated(now) || startedWhileIsolated(now);
    if (!cutOff || leading || candidacyActive && !outranksSelf(candidate)) {
      return false;
    }
    boolean free = now - acceptedAt > policy.contactTimeoutMicros() + ACCEPT_MARGIN_MICROS;
    if (!candidate.equals(acceptedCandidate) && !acceptedCandidate.isEmpty() && !free) {
      return false;
    }
    acceptedCandidate = candidate;
    acceptedAt = now;
    return true;
  }

  /** Takes in that a host accepted a heartbeat of this candidate. */
  public List<DomainAction> heartbeatAccepted(long now, String host, long sentAt) {
    confirmedAt.merge(host, sentAt, Math::max);
    return candidacyActive ? leadIfMajorityAccepted(now) : List.of();
  }

  /** Returns what must be done as time has passed. */
  public List<DomainAction> tick(long now) {
    if (handingOver) {
      return now > handOverUntil ? stepDown("handed over") : List.of();
    }
    if (leading) {
      boolean lost = now > majorityConfirmedAt(now) + policy.contactTimeoutMicros();
      return lost ? stepDown("most hosts of the domain were not heard") : List.of();
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
   * Tells whether this host has reached neither the store nor the partition's leader. It may have
   * accepted a candidate before it started again, which must not count for two of them.
   */
  private boolean startedWhileIsolated(long now) {
    boolean unheard = now - partitionLeaderActiveAt > policy.suspicionTimeoutMicros();
    boolean settled = now - startedAt > policy.contactTimeoutMicros() + ACCEPT_MARGIN_MICROS;
    return !storeReachedSinceStart && unheard && settled;
  }

  private boolean canStartCandidacy(long now) {
    boolean unled =
        acceptedCandidate.isEmpty() || now - acceptedAt > policy.suspicionTimeoutMicros();
    return !shuttingDown
        && isIsolated(now)
        && unled
        && now >= nextCandidacyAt
        && now - isolatedSince >= rank() * policy.rankDelayMicros();
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
    boolean failed = now - candidateSince > CANDIDACY_TIMEOUT_MICROS;
    if (isIsolated(now) && !yields && !failed) {
      return List.of();
    }
    nextCandidacyAt = now + (1 + rank()) * policy.rankDelayMicros();
    return stepDown(yields ? "another host stands" : "most hosts of the domain did not accept");
  }

  private List<DomainAction> leadIfMajorityAccepted(long now) {
    boolean yields = !acceptedCandidate.isEmpty();
    if (yields || now > majorityConfirmedAt(now) + policy.startTimeoutMicros()) {
      return List.of();
    }
    candidacyActive = false;
    leading = true;
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

  /** Hosts that could carry more rank before others; equal ones in the order of names. */
  private boolean outranksSelf(String other) {
    HostCapacity own = members.getOrDefault(self, HostCapacity.UNKNOWN);
    int order = members.getOrDefault(other, HostCapacity.UNKNOWN).compareTo(own);
    return order > 0 || order == 0 && other.compareTo(self) < 0;
  }

  /** Returns since when more than half of the domain's hosts, this one included, were heard. */
  private long majorityConfirmedAt(long now) {
    Set<String> others = otherMembers();
    if (others.isEmpty()) {
      return now;
    }
    return Majority.confirmedSince(confirmedAt, others).orElse(NEVER_MICROS);
  }
}
