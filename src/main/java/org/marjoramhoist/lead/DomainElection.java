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
  private static final long ISOLATION_MICROS = 1_200_000;

  /** How long a candidate waits to be accepted. */
  private static final long STAND_MICROS = 1_000_000;

  /** How long a host that gave up leading does not stand. */
  private static final long PAUSE_MICROS = 2_000_000;

  /** What a host that accepts a candidate waits for it beyond the candidate's contact time. */
  private static final long ACCEPT_MARGIN_MICROS = 150_000;

  /** How long a leader that has handed over looks after the runs that it had at work. */
  private static final long RELEASE_MICROS = 1_000_000;

  /** A time before all others, to which time-outs can be added. */
  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private final String self;
  private final ElectionTimeouts policy;
  private final long startedAt;
  private final Map<String, Long> confirmedAt = new HashMap<>();
  private Map<String, HostCapacity> members = Map.of();
  private long isolatedSince;
  private long isolatedAt;
  private boolean retired;
  private boolean storeReached;
  private long partitionHeardAt = NEVER_MICROS;
  private String accepted = "";
  private long acceptedAt;
  private boolean standing;
  private long stoodAt;
  private boolean leading;
  private boolean releasing;
  private long releaseUntil;
  private long notBefore;

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
  public void membersSeen(Map<String, HostCapacity> hosts) {
    members = Map.copyOf(hosts);
  }

  /** Returns the other hosts of the failure domain. */
  public Set<String> others() {
    return members.keySet().stream()
        .filter(host -> !host.equals(self))
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Takes in that this host's failure domain seems to be cut off.
   *
   * @return whether it did not seem so before
   */
  public boolean isolated(long now) {
    boolean begins = !isIsolated(now);
    if (begins) {
      isolatedSince = now;
    }
    isolatedAt = now;
    return begins;
  }

  /** Takes in that this host stops: it doesn't stand any more. */
  public void beginShutdown() {
    retired = true;
  }

  /** Takes in that the store has answered this host since its process started. */
  public void storeReached() {
    storeReached = true;
  }

  /** Takes in that the partition's leader was heard, or that this host leads the partition. */
  public List<DomainAction> partitionLeaderHeard(long now) {
    partitionHeardAt = now;
    isolatedAt = 0;
    accepted = "";
    return stepDown("the partition's leader is heard");
  }

  /** Takes in that this host can't lead its domain, and returns what must be done. */
  public List<DomainAction> mustStepDown(long now, String reason) {
    notBefore = now + PAUSE_MICROS;
    return stepDown(reason);
  }

  /** Tells whether this host leads its domain. */
  public boolean isLeading() {
    return leading;
  }

  /** Tells whether this host has handed over and still looks after its runs. */
  public boolean isReleasing() {
    return releasing;
  }

  /** Tells whether this host leads its domain, or did until it handed over, and may order runs. */
  public boolean mayOrder(long now) {
    boolean inContact = leading && now <= mostConfirmedAt(now) + policy.contactMicros();
    return inContact || releasing && now <= releaseUntil;
  }

  /** Tells whether this host leads its domain and may start new runs. */
  public boolean mayStart(long now) {
    return leading && now <= mostConfirmedAt(now) + policy.startMicros();
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
    releasing = true;
    releaseUntil = now + RELEASE_MICROS;
    accepted = successor;
    acceptedAt = now;
    return List.of(new DomainAction.HandOver(successor));
  }

  /**
   * Takes in that a leader hands over; a host that accepts it is free to accept the successor. The
   * successor stands at once, whatever its rank.
   */
  public List<DomainAction> released(long now, String from, String successor) {
    if (!from.equals(accepted) || leading || standing) {
      return List.of();
    }
    accepted = successor;
    acceptedAt = now;
    boolean stands = successor.equals(self) && !retired && isIsolated(now);
    return stands ? stand(now) : List.of();
  }

  /**
   * Takes in a candidate's heartbeat.
   *
   * @return whether this host accepts the candidate
   */
  public boolean accepts(long now, String candidate) {
    boolean cutOff = isIsolated(now) || startedBehindCut(now);
    if (!cutOff || leading || standing && !ranksBefore(candidate)) {
      return false;
    }
    boolean free = now - acceptedAt > policy.contactMicros() + ACCEPT_MARGIN_MICROS;
    if (!candidate.equals(accepted) && !accepted.isEmpty() && !free) {
      return false;
    }
    accepted = candidate;
    acceptedAt = now;
    return true;
  }

  /** Takes in that a host accepted a heartbeat of this candidate. */
  public List<DomainAction> confirmed(long now, String host, long sentAt) {
    confirmedAt.merge(host, sentAt, Math::max);
    return standing ? leadIfAccepted(now) : List.of();
  }

  /** Returns what must be done as time has passed. */
  public List<DomainAction> tick(long now) {
    if (releasing) {
      return now > releaseUntil ? stepDown("handed over") : List.of();
    }
    if (leading) {
      boolean lost = now > mostConfirmedAt(now) + policy.contactMicros();
      return lost ? stepDown("most hosts of the domain were not heard") : List.of();
    }
    if (standing) {
      return checkCandidacy(now);
    }
    return mayStand(now) ? stand(now) : List.of();
  }

  private boolean isIsolated(long now) {
    return isolatedAt != 0 && now - isolatedAt <= ISOLATION_MICROS;
  }

  /**
   * Tells whether this host has reached neither the store nor the partition's leader. It may have
   * accepted a candidate before it started again, which must not count for two of them.
   */
  private boolean startedBehindCut(long now) {
    boolean unheard = now - partitionHeardAt > policy.suspectMicros();
    boolean settled = now - startedAt > policy.contactMicros() + ACCEPT_MARGIN_MICROS;
    return !storeReached && unheard && settled;
  }

  private boolean mayStand(long now) {
    boolean unled = accepted.isEmpty() || now - acceptedAt > policy.suspectMicros();
    return !retired
        && isIsolated(now)
        && unled
        && now >= notBefore
        && now - isolatedSince >= rank() * policy.rankMicros();
  }

  private List<DomainAction> stand(long now) {
    standing = true;
    stoodAt = now;
    accepted = "";
    confirmedAt.clear();
    if (others().isEmpty()) {
      return leadIfAccepted(now);
    }
    return List.of(new DomainAction.Stand());
  }

  private List<DomainAction> checkCandidacy(long now) {
    boolean yields = !accepted.isEmpty();
    boolean failed = now - stoodAt > STAND_MICROS;
    if (isIsolated(now) && !yields && !failed) {
      return List.of();
    }
    notBefore = now + (1 + rank()) * policy.rankMicros();
    return stepDown(yields ? "another host stands" : "most hosts of the domain did not accept");
  }

  private List<DomainAction> leadIfAccepted(long now) {
    boolean yields = !accepted.isEmpty();
    if (yields || now > mostConfirmedAt(now) + policy.startMicros()) {
      return List.of();
    }
    standing = false;
    leading = true;
    return List.of(new DomainAction.Lead());
  }

  private List<DomainAction> stepDown(String reason) {
    if (!standing && !leading && !releasing) {
      return List.of();
    }
    standing = false;
    leading = false;
    releasing = false;
    return List.of(new DomainAction.StepDown(reason));
  }

  private int rank() {
    int rank = 0;
    for (String other : others()) {
      rank += ranksBefore(other) ? 1 : 0;
    }
    return rank;
  }

  /** Hosts that could carry more rank before others; equal ones in the order of names. */
  private boolean ranksBefore(String other) {
    HostCapacity own = members.getOrDefault(self, HostCapacity.UNKNOWN);
    int order = members.getOrDefault(other, HostCapacity.UNKNOWN).compareTo(own);
    return order > 0 || order == 0 && other.compareTo(self) < 0;
  }

  /** Returns since when more than half of the domain's hosts, this one included, were heard. */
  private long mostConfirmedAt(long now) {
    Set<String> others = others();
    if (others.isEmpty()) {
      return now;
    }
    return Majority.heardSince(confirmedAt, others).orElse(NEVER_MICROS);
  }
}
