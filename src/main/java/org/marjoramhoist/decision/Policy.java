package org.marjoramhoist.decision;

import java.util.List;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostRef;

/**
 * What the decisions of one host are set to.
 *
 * <p>Immutable. All durations are in microseconds.
 *
 * @param self this incarnation
 * @param address {@code host:port} of this host's peer listener
 * @param domain this host's failure domain
 * @param domains all failure domains in the order on which the hosts agree
 * @param shardsPerDomain how many shards the submissions of a domain are split into
 * @param heartbeat the interval of heartbeats within the domain
 * @param remoteHeartbeat the interval of heartbeats to other domains
 * @param suspectAfter the silence after which a host of the domain is suspected
 * @param deadAfter the silence after which a host of the domain is taken for dead
 * @param claimTimeout how long a claim may take
 * @param resubmitGrace how long after its deadline a submission is remembered
 * @param maxDeadline how far ahead a deadline may lie
 * @param maxQueuedTasks how many tasks may wait at this host
 * @param maxClaimsPerShard how many claims a shard may hold
 * @param maxAnswerBytes how much of ended jobs' answers is kept
 * @param maxAccountRows how many rows of accounts are kept until the store takes them
 * @param accountInterval the interval at which accounts are written
 */
public record Policy(
    HostRef self,
    String address,
    DomainId domain,
    List<DomainId> domains,
    int shardsPerDomain,
    long heartbeat,
    long remoteHeartbeat,
    long suspectAfter,
    long deadAfter,
    long claimTimeout,
    long resubmitGrace,
    long maxDeadline,
    int maxQueuedTasks,
    int maxClaimsPerShard,
    long maxAnswerBytes,
    int maxAccountRows,
    long accountInterval) {

  /** Microseconds in a millisecond. */
  public static final long MICROS_PER_MILLI = 1_000;

  /** Microseconds in a second. */
  public static final long MICROS_PER_SECOND = 1_000_000;

  /** Creates a policy. */
  public Policy {
    domains = List.copyOf(domains);
    if (!domains.contains(domain)) {
      throw new IllegalArgumentException("domain " + domain + " is not among " + domains);
    }
  }

  /**
   * Returns the silence after which a host whose connection broke is suspected: one heartbeat is
   * missed, and half an interval more has passed.
   */
  public long suspectUnlinkedAfter() {
    return Math.min(suspectAfter, heartbeat + heartbeat / 2);
  }

  /** Returns the default policy of a host. */
  public static Policy of(HostRef self, String address, DomainId domain, List<DomainId> domains) {
    return new Policy(
        self,
        address,
        domain,
        domains,
        8,
        250 * MICROS_PER_MILLI,
        MICROS_PER_SECOND,
        750 * MICROS_PER_MILLI,
        2 * MICROS_PER_SECOND,
        500 * MICROS_PER_MILLI,
        60 * MICROS_PER_SECOND,
        600 * MICROS_PER_SECOND,
        50_000,
        40_000,
        64L << 20,
        20_000,
        MICROS_PER_SECOND);
  }

  /** Returns this policy with another number of shards for each domain. */
  public Policy withShardsPerDomain(int shards) {
    return new Policy(
        self,
        address,
        domain,
        domains,
        shards,
        heartbeat,
        remoteHeartbeat,
        suspectAfter,
        deadAfter,
        claimTimeout,
        resubmitGrace,
        maxDeadline,
        maxQueuedTasks,
        maxClaimsPerShard,
        maxAnswerBytes,
        maxAccountRows,
        accountInterval);
  }
}
