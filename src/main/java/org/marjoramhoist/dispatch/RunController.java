package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.DispatchEvent.StartUnanswered;
import org.marjoramhoist.dispatch.WorkerReport.ActiveRun;
import org.marjoramhoist.dispatch.WorkerReport.Completion;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.log.LogEvent;

/**
 * Starts and stops runs, and determines their outcomes.
 *
 * <p>Invariant: a run is considered over only if the worker reported its completion, if the worker
 * rejected it, if it is missing from a complete report that was requested after its start or its
 * stop was confirmed, or if its lease has certainly expired. Confined to one thread.
 */
final class RunController {

  /** How long after its expiry a lease is still considered valid. */
  private static final long LEASE_EXPIRY_MARGIN_MILLIS = 60;

  private static final long NO_ROOM_PAUSE_MICROS = 50_000;
  private static final long UNHEALTHY_PAUSE_MICROS = 500_000;

  /**
   * How many run numbers are skipped when a worker rejects one as stale: its reply does not tell
   * the highest number in use.
   */
  private static final int STALE_RUN_INCREMENT = 8;

  private final DispatchPolicy policy;
  private final RunListener listener;
  private final EarlierRuns earlierRuns;
  private final StartWindow window;
  private final LeaseRenewals renewals;
  private final UnansweredStarts unansweredStarts = new UnansweredStarts();

  RunController(DispatchPolicy policy, RunListener listener) {
    this.policy = policy;
    this.listener = listener;
    this.window = new StartWindow(policy.usesSlackPlacement());
    this.earlierRuns = new EarlierRuns(policy, listener);
    this.renewals = new LeaseRenewals(policy, earlierRuns);
  }

  /** Returns the window of unanswered start orders. */
  StartWindow window() {
    return window;
  }

  /** Returns the tasks whose start orders are left unanswered. */
  UnansweredStarts unansweredStarts() {
    return unansweredStarts;
  }

  /** Returns the renewals of the workers' leases. */
  LeaseRenewals renewals() {
    return renewals;
  }

  /** Orders a worker to start a run of a task. */
  void start(Task task, Worker worker, double predictedMicros, long now, List<DispatchAction> out) {
    task.lastRunNumber++;
    long lease = renewals.leaseExpiryMillis(worker, now);
    RunRef ref = new RunRef(task.ref, task.lastRunNumber);
    Run run = new Run(ref, task, worker, now, lease, predictedMicros);
    task.run = run;
    window.orderSent(ref, now);
    if (!task.job.started) {
      task.job.started = true;
      listener.jobStarted(task.job, now);
    }
    worker.add(run);
    worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, lease);
    out.add(new DispatchAction.Start(worker.info(), ref, task.job.description().payload(), lease));
  }

  /** Orders the worker to stop a run, unless a stop order was already sent or confirmed. */
  void stop(Run run, List<DispatchAction> out) {
    if (run.phase == Run.Phase.STARTING || run.phase == Run.Phase.RUNNING) {
      run.phase = Run.Phase.STOPPING;
      out.add(new DispatchAction.Stop(run.worker.info(), run.ref));
    }
  }

  /** Handles the reply to a start order. */
  void startAnswered(
      Worker worker,
      RunRef ref,
      long sentAt,
      StartReply reply,
      long now,
      List<DispatchAction> out) {
    worker.recordCallSuccess(now);
    unansweredStarts.answered(ref.task());
    boolean otherClock = worker.clock.isInconsistentWith(reply.clockMillis(), sentAt, now);
    worker.mayHaveRestarted |= otherClock;
    worker.clock.update(reply.clockMillis(), sentAt, now);
    Run run = worker.runs.get(ref);
    if (otherClock) {
      limitLeases(worker, now);
    }
    if (run == null || run.phase != Run.Phase.STARTING) {
      return;
    }
    if (reply.verdict() == StartReply.Verdict.STARTED) {
      run.startConfirmed(now);
      renewals.renewIfDue(worker, now, out);
      return;
    }
    startRejected(worker, run, reply.verdict(), now, out);
  }

  /**
   * Counts the leases of a worker that has probably restarted on its new clock; workers shorten
   * leases to the maximum.
   */
  private void limitLeases(Worker worker, long now) {
    long latest = renewals.leaseExpiryMillis(worker, now);
    worker.leaseUntilMillis = Math.min(worker.leaseUntilMillis, latest);
    worker.runs.values().forEach(run -> run.limitStartLease(latest));
  }

  private void startRejected(
      Worker worker, Run run, StartReply.Verdict verdict, long now, List<DispatchAction> out) {
    switch (verdict) {
      case STALE_TOKEN -> {
        out.add(
            new DispatchAction.StepDown(
                "worker " + worker.id() + " has seen a higher fencing token"));
        return;
      }
      case STALE_RUN -> run.task.lastRunNumber += STALE_RUN_INCREMENT;
      case NO_ROOM -> worker.pauseUntil(now + NO_ROOM_PAUSE_MICROS);
      case UNHEALTHY -> worker.pauseUntil(now + UNHEALTHY_PAUSE_MICROS);
      case OTHER_WORKER, LATE -> worker.synced = false;
      default -> worker.recordFailure(now);
    }
    removeRun(run);
    out.add(
        new Log(
            LogEvent.RUN_REJECTED,
            describe(run) + " verdict=" + verdict.name().toLowerCase(Locale.ROOT)));
    lost(run, LossCause.REJECTED, now, out);
  }

  /** Handles a start order that was not answered. */
  void startUnanswered(Worker worker, StartUnanswered order, long now, List<DispatchAction> out) {
    worker.recordCallFailure(now);
    Run run = worker.runs.get(order.run());
    if (run == null || run.phase != Run.Phase.STARTING) {
      return;
    }
    run.unanswered = order;
    out.add(new Log(LogEvent.RUN_UNANSWERED, describe(run) + " " + describe(order)));
    if (order.mayRun()) {
      stop(run, out);
    } else {
      removeRun(run);
      lost(run, LossCause.NOT_SENT, now, out);
    }
    renewals.renewIfDue(worker, now, out);
  }

  /** Handles the confirmation or the failure of a stop order. */
  void stopEnded(Worker worker, RunRef ref, boolean answered, long now, List<DispatchAction> out) {
    Run run = worker.runs.get(ref);
    if (run == null || run.phase != Run.Phase.STOPPING) {
      return;
    }
    if (answered) {
      worker.recordCallSuccess(now);
      run.phase = Run.Phase.STOPPED;
      run.answeredAt = now;
      renewals.renewIfDue(worker, now, out);
    } else {
      worker.recordCallFailure(now);
      run.phase = Run.Phase.RUNNING;
      run.answeredAt = Long.MAX_VALUE;
    }
  }

  /** Handles a report, the reply to a renewal. */
  void handleReport(
      Worker worker, long sentAt, WorkerReport report, long now, List<DispatchAction> out) {
    worker.recordRenewalEnd();
    worker.recordCallSuccess(now);
    worker.lastFailure = null;
    worker.replaced = false;
    if (isOutdated(worker, report)) {
      renewals.renewIfDue(worker, now, out);
      return;
    }
    worker.synced |= report.hasAllCompletions();
    worker.hasMoreCompletions = !report.hasAllCompletions();
    worker.mayHaveRestarted = false;
    worker.lastReportAt = now;
    worker.lastReportRequestedAt = sentAt;
    boolean restarted = worker.isRestartedIn(report);
    if (restarted) {
      worker.restartedAt = now;
      out.add(new Log(LogEvent.WORKER_REPLACED, "by=report " + describe(worker)));
    }
    if (report.bornMillis() != worker.reportedBornMillis) {
      worker.restarted(report.bornMillis());
    }
    worker.reportedClockMillis = report.clockMillis();
    worker.clock.update(report.clockMillis(), sentAt, now);
    if (restarted) {
      // What was granted before counts on a clock that is gone; orders may still be on their way.
      worker.leaseUntilMillis = renewals.leaseExpiryMillis(worker, now);
    }
    final boolean hadNoForeignLease = worker.foreignLease.hasLapsed();
    for (Completion completion : report.completions()) {
      worker.foreignRuns.remove(completion.run());
      if (worker.recordCompletion(completion.sequence())) {
        recordForeignCompletion(worker, completion, report.clockMillis());
        handleCompletion(worker, completion, now, out);
      }
    }
    Set<RunRef> running = new HashSet<>();
    for (ActiveRun each : report.activeRuns()) {
      running.add(each.run());
      handleActiveRun(worker, each, now, out);
      if (policy.leadsDomain() && isForeign(worker, each.run())) {
        worker.foreignLease.runIsActive(report.clockMillis());
      }
    }
    if (report.hasAllCompletions()) {
      worker.foreignRuns.keySet().retainAll(running);
      removeMissingRuns(worker, sentAt, report.clockMillis(), running, now, out);
    }
    worker.foreignLease.reported(report.clockMillis(), policy.leaseMillis());
    if (hadNoForeignLease && !worker.foreignLease.hasLapsed()) {
      out.add(new Log(LogEvent.WORKER_WITHHELD, describe(worker)));
    }
    listener.workerExplained(worker, restarted, now, out);
    stopStalled(worker, now, out);
    worker.updateSlowness(now);
    renewals.renewIfDue(worker, now, out);
  }

  private void recordForeignCompletion(Worker worker, Completion completion, long clockMillis) {
    if (policy.leadsDomain()) {
      boolean isOwn = !isForeign(worker, completion.run());
      worker.foreignLease.runCompleted(completion, isOwn, clockMillis);
    }
  }

  /** Tells whether neither this leader of a domain nor its predecessor ordered a run. */
  private boolean isForeign(Worker worker, RunRef run) {
    return !worker.runs.containsKey(run) && !listener.isOfPredecessor(run.task().job());
  }

  /** Tells whether a newer report was received before this one. */
  private static boolean isOutdated(Worker worker, WorkerReport report) {
    return report.bornMillis() == worker.reportedBornMillis
        && report.clockMillis() < worker.reportedClockMillis;
  }

  private void handleCompletion(
      Worker worker, Completion completion, long now, List<DispatchAction> out) {
    Run run = worker.runs.get(completion.run());
    if (run == null) {
      earlierRuns.handleCompletion(worker, completion, now, out);
      return;
    }
    stepDownOnForeignStop(run, completion, out);
    removeRun(run);
    switch (completion.outcome()) {
      case DONE -> listener.runDone(run, now, out);
      case FAILED -> listener.runFailed(run, now, out);
      default -> lost(run, LossCause.of(completion.outcome()), now, out);
    }
    run.task.job.holdCompletionUntilStored(worker, completion);
  }

  /**
   * Requests that the leader of a failure domain steps down if a run was stopped without its order:
   * another leader must have ordered the stop and uses the worker.
   */
  private void stepDownOnForeignStop(Run run, Completion completion, List<DispatchAction> out) {
    boolean stoppedHere = run.phase == Run.Phase.STOPPING || run.phase == Run.Phase.STOPPED;
    if (policy.leadsDomain() && completion.outcome() == RunOutcome.STOPPED && !stoppedHere) {
      out.add(
          new DispatchAction.StepDown("another leader stopped a run on worker " + run.worker.id()));
    }
  }

  /**
   * Handles again, once the durable jobs are loaded, the completions whose jobs were unknown until
   * then.
   */
  void retryForeignCompletions(Iterable<Worker> workers, long now, List<DispatchAction> out) {
    for (Worker worker : workers) {
      List<Completion> completions = List.copyOf(worker.foreignCompletions);
      worker.foreignCompletions.clear();
      for (Completion completion : completions) {
        worker.releaseCompletion(worker.reportedBornMillis, completion.sequence());
        earlierRuns.handleCompletion(worker, completion, now, out);
      }
    }
  }

  private void handleActiveRun(
      Worker worker, ActiveRun activeRun, long now, List<DispatchAction> out) {
    Run run = worker.runs.get(activeRun.run());
    if (run != null) {
      if (run.phase == Run.Phase.STARTING) {
        run.startConfirmed(now);
        unansweredStarts.answered(run.ref.task());
      }
      run.recordProgress(activeRun.progressPercent(), now);
      return;
    }
    earlierRuns.handleActiveRun(worker, activeRun.run(), now, out);
  }

  /** Adopts the reported active and completed runs of a resubmitted job. */
  void adoptEarlierRuns(Job job, Iterable<Worker> workers, long now, List<DispatchAction> out) {
    for (Worker worker : earlierRuns.adoptRuns(job, workers, now)) {
      renewals.renewIfDue(worker, now, out);
    }
  }

  private void stopStalled(Worker worker, long now, List<DispatchAction> out) {
    for (Run run : new ArrayList<>(worker.runs.values())) {
      if (run.isStalled()) {
        out.add(new Log(LogEvent.RUN_STALLED, describe(run) + " percent=" + run.progressPercent));
        listener.runStalled(run, now, out);
        stop(run, out);
      }
    }
  }

  private void removeMissingRuns(
      Worker worker,
      long sentAt,
      long clockMillis,
      Set<RunRef> running,
      long now,
      List<DispatchAction> out) {
    for (Run run : new ArrayList<>(worker.runs.values())) {
      if (running.contains(run.ref)) {
        continue;
      }
      boolean confirmed = run.phase == Run.Phase.RUNNING || run.phase == Run.Phase.STOPPED;
      boolean requestedLater = confirmed && run.answeredAt < sentAt;
      boolean tooLateToStart = clockMillis > run.startLeaseMillis() + LEASE_EXPIRY_MARGIN_MILLIS;
      if (requestedLater || tooLateToStart) {
        removeRun(run);
        lost(run, LossCause.NOT_THERE, now, out);
      }
    }
  }

  /** Handles a renewal that failed. */
  void renewalFailed(Worker worker, CallFailure failure, long now, List<DispatchAction> out) {
    final boolean wasReachable = worker.isReachable();
    worker.recordRenewalEnd();
    worker.recordCallFailure(now);
    worker.lastFailure = failure;
    if (worker.isReachable()) {
      renewals.renewIfDue(worker, now, out);
    } else if (wasReachable) {
      out.add(new Log(LogEvent.WORKER_UNREACHABLE, describe(worker)));
    }
    if (!worker.isReachable() && failure == CallFailure.REFUSED) {
      listener.workerRefuses(worker, now, out);
    }
  }

  /** Handles a renewal that another worker, or another incarnation of the worker, answered. */
  void otherProcessAnswered(Worker worker, long now, List<DispatchAction> out) {
    worker.recordRenewalEnd();
    worker.recordCallFailure(now);
    worker.synced = false;
    worker.hasMoreCompletions = false;
    if (!worker.replaced) {
      worker.replaced = true;
      out.add(new Log(LogEvent.WORKER_REPLACED, "by=reply " + describe(worker)));
      listener.workerExplained(worker, true, now, out);
    }
  }

  private void lost(Run run, LossCause cause, long now, List<DispatchAction> out) {
    unansweredStarts.runLost(run, cause, now, out);
    listener.runLost(run, cause, now, out);
  }

  private void removeRun(Run run) {
    run.worker.remove(run);
    if (run.task.run == run) {
      run.task.run = null;
    }
  }

  /** Renews leases, repeats stop orders and removes runs whose leases have expired. */
  void tick(Worker worker, long now, List<DispatchAction> out) {
    for (Run run : new ArrayList<>(worker.runs.values())) {
      long lease = Math.max(run.startLeaseMillis(), worker.leaseUntilMillis);
      boolean unresponsive = !worker.isReachable() || run.answeredAt == Long.MAX_VALUE;
      if (unresponsive
          && worker.clock.hasCertainlyPassed(lease + LEASE_EXPIRY_MARGIN_MILLIS, now)) {
        removeRun(run);
        lost(run, LossCause.LEASE_EXPIRED, now, out);
      } else if (run.phase == Run.Phase.RUNNING && run.answeredAt == Long.MAX_VALUE) {
        stop(run, out);
      }
    }
    worker.updateSlowness(now);
    renewals.renewIfDue(worker, now, out);
  }

  /** Describes a worker and its runs; the latest of them is the last. */
  private static String describe(Worker worker) {
    List<String> tasks =
        worker.runs.keySet().stream()
            .map(ref -> ref.task().job() + "/" + ref.task().step() + "/" + ref.task().index())
            .toList();
    return "worker="
        + worker.id()
        + " failure="
        + worker.lastFailure
        + " draining="
        + worker.info().draining()
        + " runs="
        + tasks;
  }

  static String describe(StartUnanswered order) {
    return "mayRun="
        + order.mayRun()
        + " failure="
        + order.failure()
        + " reason=\""
        + order.reason()
        + '"';
  }

  static String describe(Run run) {
    return "job="
        + run.ref.task().job()
        + " step="
        + run.ref.task().step()
        + " task="
        + run.ref.task().index()
        + " run="
        + run.ref.number()
        + " worker="
        + run.worker.id();
  }
}
