package org.marjoramhoist.dispatch;

/**
 * Bounds and time-outs of a leader's decisions.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param leaseMillis how far ahead a lease may end; the platform's limit
 * @param farFactor how many times as long a task runs away from its data
 * @param renewWaitMillis how long a worker may wait for an end before it answers a renewal
 * @param retentionMillis how long callers may ask for a durable job that has ended
 * @param scope what the leader leads
 * @param scheduling how room is used
 */
public record DispatchPolicy(
    long leaseMillis,
    double farFactor,
    long renewWaitMillis,
    long retentionMillis,
    Scope scope,
    SchedulingPolicy scheduling) {

  /** What a leader leads. */
  public enum Scope {
    /** All workers, under a record in the store. */
    PARTITION,

    /**
     * The workers of a failure domain that is cut off, beside a partition's leader that may live.
     * It takes on ephemeral jobs only, leaves runs and ends that aren't its own alone, and gives up
     * once it sees that another leader orders runs on its workers.
     */
    DOMAIN,

    /**
     * As {@link #DOMAIN}, after a leader that has handed over: the runs that this one still has at
     * work bar only their own workers, and only for a time.
     */
    DOMAIN_SUCCESSOR
  }

  /** Creates the policy of a partition's leader with the default scheduling. */
  public DispatchPolicy(
      long leaseMillis, double farFactor, long renewWaitMillis, long retentionMillis) {
    this(
        leaseMillis,
        farFactor,
        renewWaitMillis,
        retentionMillis,
        Scope.PARTITION,
        SchedulingPolicy.DEFAULT);
  }

  /** Returns the same policy with another scheduling. */
  public DispatchPolicy withScheduling(SchedulingPolicy next) {
    return new DispatchPolicy(
        leaseMillis, farFactor, renewWaitMillis, retentionMillis, scope, next);
  }

  /** Returns the same policy for the leader of a failure domain. */
  public DispatchPolicy forDomain() {
    return new DispatchPolicy(
        leaseMillis, farFactor, renewWaitMillis, retentionMillis, Scope.DOMAIN, scheduling);
  }

  /** Tells whether workers are chosen by the time that jobs have. */
  public boolean usesSlackPlacement() {
    return scheduling.placement() == SchedulingPolicy.Placement.SLACK;
  }

  /** Returns the same policy for the leader of a failure domain that was handed over to it. */
  public DispatchPolicy forDomainSuccessor() {
    return new DispatchPolicy(
        leaseMillis,
        farFactor,
        renewWaitMillis,
        retentionMillis,
        Scope.DOMAIN_SUCCESSOR,
        scheduling);
  }

  /** Tells whether the leader leads only a failure domain that is cut off. */
  public boolean leadsDomain() {
    return scope != Scope.PARTITION;
  }
}
