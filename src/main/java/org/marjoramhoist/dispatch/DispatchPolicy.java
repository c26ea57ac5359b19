package org.marjoramhoist.dispatch;

/**
 * Limits and timeouts of a leader's dispatcher.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param leaseMillis the maximum duration of a lease, as limited by the platform
 * @param farFactor the factor by which the run time of a task increases on a worker that is remote
 *     from its data
 * @param renewWaitMillis how long a worker may wait for a completion before it answers a renewal
 * @param retentionMillis how long an ended durable job remains available to its caller
 * @param scope the scope of the leader
 * @param scheduling the scheduling policy
 */
public record DispatchPolicy(
    long leaseMillis,
    double farFactor,
    long renewWaitMillis,
    long retentionMillis,
    Scope scope,
    SchedulingPolicy scheduling) {

  /** The scope of a leader. */
  public enum Scope {
    /** All workers of a partition, under a leader record in the store. */
    PARTITION,

    /**
     * The workers of an isolated failure domain, possibly while the partition's leader is still
     * active. The leader accepts ephemeral jobs only, does not change runs and completions of other
     * leaders, and steps down once it observes another leader issuing orders to its workers.
     */
    DOMAIN,

    /**
     * Like {@link #DOMAIN}, but the previous leader of the domain handed over its leadership. Runs
     * of the previous leader that are still active block only the workers they run on, and only for
     * a limited time.
     */
    DOMAIN_SUCCESSOR
  }

  /** Creates the policy of a partition leader with the default scheduling policy. */
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

  /** Returns a copy of this policy with the given scheduling policy. */
  public DispatchPolicy withScheduling(SchedulingPolicy next) {
    return new DispatchPolicy(
        leaseMillis, farFactor, renewWaitMillis, retentionMillis, scope, next);
  }

  /** Returns a copy of this policy for the leader of a failure domain. */
  public DispatchPolicy forDomain() {
    return new DispatchPolicy(
        leaseMillis, farFactor, renewWaitMillis, retentionMillis, Scope.DOMAIN, scheduling);
  }

  /** Returns whether workers are chosen by the slack of jobs. */
  public boolean usesSlackPlacement() {
    return scheduling.placement() == SchedulingPolicy.Placement.SLACK;
  }

  /**
   * Returns a copy of this policy for the leader of a failure domain whose previous leader handed
   * over.
   */
  public DispatchPolicy forDomainSuccessor() {
    return new DispatchPolicy(
        leaseMillis,
        farFactor,
        renewWaitMillis,
        retentionMillis,
        Scope.DOMAIN_SUCCESSOR,
        scheduling);
  }

  /** Returns whether the leader leads only an isolated failure domain. */
  public boolean leadsDomain() {
    return scope != Scope.PARTITION;
  }
}
