package org.marjoramhoist.dispatch;

import java.util.List;

/**
 * Renews the leases of workers, acknowledges their completions, and requests their reports.
 *
 * <p>Invariant: no lease is extended for a run that this leader neither ordered nor may still
 * adopt. Confined to one thread.
 */
final class LeaseRenewals {

  /** How long after the last report completions are acknowledged if no lease must be renewed. */
  private static final long ACKNOWLEDGEMENT_DELAY_MICROS = 60_000;

  /** How long after its last report a worker without runs is asked for another one. */
  private static final long IDLE_POLL_MICROS = 4_000_000;

  /** How long a worker with a stopped run may wait for a completion before it reports. */
  private static final long STOP_REPORT_WAIT_MILLIS = 10;

  /** The interval of renewals to a worker with runs whose reports are missing or incomplete. */
  private static final long ACTIVE_RETRY_MICROS = 100_000;

  /** The interval of renewals to a worker without runs whose reports are missing or incomplete. */
  private static final long IDLE_RETRY_MICROS = 500_000;

  /** The maximum number of unanswered renewals to a worker. */
  private static final int MAX_PENDING_RENEWALS = 2;

  private final DispatchPolicy policy;
  private final EarlierRuns earlierRuns;

  LeaseRenewals(DispatchPolicy policy, EarlierRuns earlierRuns) {
    this.policy = policy;
    this.earlierRuns = earlierRuns;
  }

  /** Returns when a lease that is granted now expires, in milliseconds on the worker's clock. */
  long leaseExpiryMillis(Worker worker, long now) {
    return worker.clock.estimate(now) + policy.leaseMillis();
  }

  /**
   * Renews the leases of a worker's runs, acknowledges its completions or requests a report, if any
   * of these is due.
   */
  void renewIfDue(Worker worker, long now, List<DispatchAction> out) {
    if (worker.pendingRenewals > 0 && !needsImmediateReport(worker)) {
      return;
    }
    if (worker.isReachable() && worker.hasMoreCompletions) {
      renewForMoreCompletions(worker, now, out);
      return;
    }
    if (!worker.isReachable() || !worker.synced) {
      requestReportIfDue(
          worker, worker.runs.isEmpty() ? IDLE_RETRY_MICROS : ACTIVE_RETRY_MICROS, now, out);
      return;
    }
    boolean hasAcceptedRuns = false;
    boolean stopped = false;
    for (Run run : worker.runs.values()) {
      hasAcceptedRuns |= run.phase != Run.Phase.STARTING;
      stopped |= run.phase == Run.Phase.STOPPED || run.phase == Run.Phase.STOPPING;
    }
    if (mustRenewLeases(worker, hasAcceptedRuns, now)) {
      long wait = stopped ? STOP_REPORT_WAIT_MILLIS : policy.renewWaitMillis();
      renew(worker, leaseExpiryMillis(worker, now), wait, now, out);
      return;
    }
    if (isUnderWatch(worker)) {
      requestReportIfDue(worker, ACTIVE_RETRY_MICROS, now, out);
      return;
    }
    boolean mustAcknowledge =
        !policy.leadsDomain()
            && worker.acknowledged() > worker.acknowledgementSent
            && (worker.acknowledgementDeferred
                || now - worker.lastReportAt > ACKNOWLEDGEMENT_DELAY_MICROS);
    boolean pollDue = worker.isFailing() || now - worker.lastReportAt > IDLE_POLL_MICROS;
    boolean mustPoll = worker.runs.isEmpty() && pollDue;
    if (mustAcknowledge || mustPoll) {
      renew(worker, 0, 0, now, out);
    }
  }

  /**
   * Tells whether to renew the leases of a worker. A renewal extends the leases of all its runs, so
   * the leader of a failure domain leaves a worker alone that runs something of another leader.
   */
  private boolean mustRenewLeases(Worker worker, boolean hasOwnRuns, long now) {
    if (worker.foreignRuns.isEmpty()) {
      return hasOwnRuns;
    }
    return hasOwnRuns && !policy.leadsDomain() || earlierRuns.mayBelongToJob(now);
  }

  /** Tells whether reports are awaited that show that no other leader uses a worker. */
  private static boolean isUnderWatch(Worker worker) {
    return !worker.foreignRuns.isEmpty()
        || !worker.foreignLease.hasLapsed()
        || worker.needsReportOfRuns();
  }

  /**
   * Tells whether to request a report while another renewal waits for a completion: the task of a
   * stopped run cannot be started again before a report shows the outcome of that run.
   */
  private static boolean needsImmediateReport(Worker worker) {
    if (worker.pendingRenewals >= MAX_PENDING_RENEWALS || !worker.isReachable() || !worker.synced) {
      return false;
    }
    for (Run run : worker.runs.values()) {
      if (run.phase == Run.Phase.STOPPED && run.answeredAt > worker.lastRenewalAt) {
        return true;
      }
    }
    return false;
  }

  /**
   * Requests the next completions immediately if the worker can report them; otherwise renews the
   * leases at a fixed interval.
   */
  private void renewForMoreCompletions(Worker worker, long now, List<DispatchAction> out) {
    if (worker.canReportMoreCompletions() || now - worker.lastRenewalAt > ACTIVE_RETRY_MICROS) {
      boolean extendsLeases = mustRenewLeases(worker, !worker.runs.isEmpty(), now);
      renew(worker, extendsLeases ? leaseExpiryMillis(worker, now) : 0, 0, now, out);
    }
  }

  /** Requests a report without extending any lease, unless one was requested recently. */
  private void requestReportIfDue(
      Worker worker, long intervalMicros, long now, List<DispatchAction> out) {
    if (worker.lastRenewalAt == 0 || now - worker.lastRenewalAt > intervalMicros) {
      renew(worker, 0, 0, now, out);
    }
  }

  /** Requests a report at once without extending any lease, unless a report is awaited. */
  void requestReport(Worker worker, long now, List<DispatchAction> out) {
    if (worker.pendingRenewals == 0) {
      renew(worker, 0, 0, now, out);
    }
  }

  /**
   * Sends a renewal, which acknowledges completions and requests a report.
   *
   * @param lease the new lease expiry in milliseconds on the worker's clock; 0 to extend no lease
   * @param wait how long the worker may wait for a completion before it reports, in milliseconds
   */
  private void renew(Worker worker, long lease, long wait, long now, List<DispatchAction> out) {
    worker.pendingRenewals++;
    worker.lastRenewalAt = now;
    worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, lease);
    worker.acknowledgementDeferred = worker.mayHaveRestarted;
    long acknowledged = mayAcknowledge(worker) ? worker.acknowledged() : 0;
    worker.acknowledgementSent = Math.max(worker.acknowledgementSent, acknowledged);
    out.add(new DispatchAction.Renew(worker.info(), acknowledged, lease, wait));
  }

  /**
   * The leader of a failure domain acknowledges nothing, as the partition's leader must see all
   * completions.
   */
  private boolean mayAcknowledge(Worker worker) {
    return !worker.acknowledgementDeferred && !policy.leadsDomain();
  }
}
