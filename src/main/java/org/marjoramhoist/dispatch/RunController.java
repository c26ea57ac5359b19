package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.WorkerReport.ActiveRun;
import org.marjoramhoist.dispatch.WorkerReport.Completion;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.log.LogEvent;

/**
 * Starts and stops runs, renews their leases, and finds out what became of each.
 *
 * <p>Invariant: a run is told over only when the worker said so, when the worker rejected it, when
 * a whole report asked for after its start or its stop was confirmed does not show it, or when its
 * lease has surely run out. Confined to one thread.
 */
final class RunController {

  private static final long LEASE_EXPIRY_MARGIN_MILLIS = 60;
  private static final long ACK_DELAY_MICROS = 60_000;
  private static final long IDLE_POLL_MICROS = 4_000_000;
  private static final long STOP_REPORT_WAIT_MILLIS = 10;
  private static final long ACTIVE_RETRY_MICROS = 100_000;
  private static final long IDLE_RETRY_MICROS = 500_000;
  private static final long NO_ROOM_PAUSE_MICROS = 50_000;
  private static final long UNHEALTHY_PAUSE_MICROS = 500_000;
  private static final int STALE_RUN_INCREMENT = 8;
  private static final int MAX_PENDING_RENEWALS = 2;

  private final DispatchPolicy policy;
  private final RunListener listener;
  private final EarlierRuns earlierRuns;
  private final StartWindow window;

  RunController(DispatchPolicy policy, RunListener listener) {
    this.policy = policy;
    this.listener = listener;
    this.window = new StartWindow(policy.usesSlackPlacement());
    this.earlierRuns = new EarlierRuns(policy, listener);
  }

  /** Returns the orders to start that have not ended. */
  StartWindow window() {
    return window;
  }

  /** Orders a run of a task. */
  void start(Task task, Worker worker, double predictedMicros, long now, List<DispatchAction> out) {
    task.lastRunNumber++;
    long lease = leaseEnd(worker, now);
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

  /** Orders a run to stop. */
  void stop(Run run, List<DispatchAction> out) {
    if (run.phase == Run.Phase.STARTING || run.phase == Run.Phase.RUNNING) {
      run.phase = Run.Phase.STOPPING;
      out.add(new DispatchAction.Stop(run.worker.info(), run.ref));
    }
  }

  private long leaseEnd(Worker worker, long now) {
    return worker.clock.estimate(now) + policy.leaseMillis();
  }

  /** Takes in an answer to an order to start. */
  void startAnswered(
      Worker worker,
      RunRef ref,
      long sentAt,
      StartReply reply,
      long now,
      List<DispatchAction> out) {
    worker.recordCallSuccess();
    worker.mayHaveRestarted |= worker.clock.isInconsistentWith(reply.clockMillis(), sentAt, now);
    worker.clock.update(reply.clockMillis(), sentAt, now);
    Run run = worker.runs.get(ref);
    if (run == null || run.phase != Run.Phase.STARTING) {
      return;
    }
    if (reply.verdict() == StartReply.Verdict.STARTED) {
      run.startConfirmed(now);
      renewIfDue(worker, now, out);
      return;
    }
    startRejected(worker, run, reply.verdict(), now, out);
  }

  private void startRejected(
      Worker worker, Run run, StartReply.Verdict verdict, long now, List<DispatchAction> out) {
    switch (verdict) {
      case STALE_TOKEN -> {
        out.add(new DispatchAction.StepDown("worker " + worker.id() + " has a higher token"));
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
        new Log(LogEvent.RUN_REJECTED, describe(run) + " verdict=" + verdict.name().toLowerCase()));
    listener.runLost(run, "rejected", now, out);
  }

  /** Takes in that an order to start got no answer. */
  void startUnanswered(
      Worker worker, RunRef ref, boolean mayRun, long now, List<DispatchAction> out) {
    worker.recordCallFailure();
    Run run = worker.runs.get(ref);
    if (run == null || run.phase != Run.Phase.STARTING) {
      return;
    }
    out.add(new Log(LogEvent.RUN_UNANSWERED, describe(run) + " mayRun=" + mayRun));
    if (mayRun) {
      stop(run, out);
    } else {
      removeRun(run);
      listener.runLost(run, "not sent", now, out);
    }
    renewIfDue(worker, now, out);
  }

  /** Takes in the end of an order to stop. */
  void stopEnded(Worker worker, RunRef ref, boolean answered, long now, List<DispatchAction> out) {
    Run run = worker.runs.get(ref);
    if (run == null || run.phase != Run.Phase.STOPPING) {
      return;
    }
    if (answered) {
      worker.recordCallSuccess();
      run.phase = Run.Phase.STOPPED;
      run.answeredAt = now;
      renewIfDue(worker, now, out);
    } else {
      worker.recordCallFailure();
      run.phase = Run.Phase.RUNNING;
      run.answeredAt = Long.MAX_VALUE;
    }
  }

  /** Takes in a report. */
  void handleReport(
      Worker worker, long sentAt, WorkerReport report, long now, List<DispatchAction> out) {
    worker.recordRenewalEnd();
    worker.recordCallSuccess();
    if (isOutdated(worker, report)) {
      renewIfDue(worker, now, out);
      return;
    }
    worker.synced |= report.hasAllCompletions();
    worker.hasMoreCompletions = !report.hasAllCompletions();
    worker.mayHaveRestarted = false;
    worker.lastReportAt = now;
    if (report.bornMillis() != worker.reportedBornMillis) {
      worker.restarted(report.bornMillis());
    }
    worker.reportedClockMillis = report.clockMillis();
    worker.clock.update(report.clockMillis(), sentAt, now);
    for (Completion end : report.completions()) {
      worker.foreignRuns.remove(end.run());
      if (worker.recordCompletion(end.sequence())) {
        handleCompletion(worker, end, now, out);
      }
    }
    Set<RunRef> running = new HashSet<>();
    for (ActiveRun each : report.activeRuns()) {
      running.add(each.run());
      handleActiveRun(worker, each, now, out);
    }
    if (report.hasAllCompletions()) {
      worker.foreignRuns.keySet().retainAll(running);
      removeMissingRuns(worker, sentAt, report.clockMillis(), running, now, out);
    }
    stopStalled(worker, now, out);
    worker.updateSlowness(now);
    renewIfDue(worker, now, out);
  }

  /** Tells whether a report is older than one that arrived before. */
  private static boolean isOutdated(Worker worker, WorkerReport report) {
    return report.bornMillis() == worker.reportedBornMillis
        && report.clockMillis() < worker.reportedClockMillis;
  }

  private void handleCompletion(Worker worker, Completion end, long now, List<DispatchAction> out) {
    Run run = worker.runs.get(end.run());
    if (run == null) {
      earlierRuns.handleCompletion(worker, end, now, out);
      return;
    }
    stepDownOnForeignStop(run, end, out);
    removeRun(run);
    switch (end.outcome()) {
      case DONE -> listener.runDone(run, now, out);
      case FAILED -> listener.runFailed(run, now, out);
      default -> listener.runLost(run, end.outcome().name().toLowerCase(), now, out);
    }
    run.task.job.holdCompletionUntilStored(worker, end);
  }

  /** A run that this leader did not stop was stopped by another one. */
  private void stepDownOnForeignStop(Run run, Completion end, List<DispatchAction> out) {
    boolean own = run.phase == Run.Phase.STOPPING || run.phase == Run.Phase.STOPPED;
    if (policy.leadsDomain() && end.outcome() == RunOutcome.STOPPED && !own) {
      out.add(
          new DispatchAction.StepDown("another leader stopped a run on worker " + run.worker.id()));
    }
  }

  /** Takes in that all durable jobs are known: looks again at the ends that were not. */
  void retryForeignCompletions(Iterable<Worker> workers, long now, List<DispatchAction> out) {
    for (Worker worker : workers) {
      List<Completion> ends = List.copyOf(worker.foreignCompletions);
      worker.foreignCompletions.clear();
      for (Completion end : ends) {
        worker.releaseCompletion(worker.reportedBornMillis, end.sequence());
        earlierRuns.handleCompletion(worker, end, now, out);
      }
    }
  }

  private void handleActiveRun(Worker worker, ActiveRun each, long now, List<DispatchAction> out) {
    Run run = worker.runs.get(each.run());
    if (run != null) {
      if (run.phase == Run.Phase.STARTING) {
        run.startConfirmed(now);
      }
      run.recordProgress(each.progressPercent(), now);
      return;
    }
    earlierRuns.handleActiveRun(worker, each.run(), now, out);
  }

  /** Gives a job that an entry host handed on what is at work or done of it. */
  void adoptEarlierRuns(Job job, Iterable<Worker> workers, long now, List<DispatchAction> out) {
    for (Worker worker : earlierRuns.adoptRuns(job, workers, now)) {
      renewIfDue(worker, now, out);
    }
  }

  private void stopStalled(Worker worker, long now, List<DispatchAction> out) {
    for (Run run : new ArrayList<>(worker.runs.values())) {
      if (run.isStalled()) {
        out.add(new Log(LogEvent.RUN_STALLED, describe(run) + " percent=" + run.percent));
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
      boolean askedLater = confirmed && run.answeredAt < sentAt;
      boolean tooLateToStart = clockMillis > run.startLeaseMillis + LEASE_EXPIRY_MARGIN_MILLIS;
      if (askedLater || tooLateToStart) {
        removeRun(run);
        listener.runLost(run, "not there", now, out);
      }
    }
  }

  /** Takes in that a renewal got no answer, or one from another life of the worker. */
  void renewalFailed(Worker worker, boolean otherLife, long now, List<DispatchAction> out) {
    worker.recordRenewalEnd();
    worker.recordCallFailure();
    if (otherLife) {
      worker.synced = false;
      worker.hasMoreCompletions = false;
    } else if (worker.isReachable()) {
      renewIfDue(worker, now, out);
    }
  }

  private void removeRun(Run run) {
    run.worker.remove(run);
    if (run.task.run == run) {
      run.task.run = null;
    }
  }

  /** Renews, repeats orders and finds expired leases. */
  void tick(Worker worker, long now, List<DispatchAction> out) {
    for (Run run : new ArrayList<>(worker.runs.values())) {
      long lease = Math.max(run.startLeaseMillis, worker.leaseUntilMillis);
      boolean silent = !worker.isReachable() || run.answeredAt == Long.MAX_VALUE;
      if (silent && worker.clock.hasCertainlyPassed(lease + LEASE_EXPIRY_MARGIN_MILLIS, now)) {
        removeRun(run);
        listener.runLost(run, "lease expired", now, out);
      } else if (run.phase == Run.Phase.RUNNING && run.answeredAt == Long.MAX_VALUE) {
        stop(run, out);
      }
    }
    renewIfDue(worker, now, out);
  }

  private void renewIfDue(Worker worker, long now, List<DispatchAction> out) {
    if (worker.pendingRenewals > 0 && !needsImmediateReport(worker)) {
      return;
    }
    if (worker.isReachable() && worker.hasMoreCompletions) {
      renewForMoreCompletions(worker, now, out);
      return;
    }
    if (!worker.isReachable() || !worker.synced) {
      renewAfter(worker, worker.runs.isEmpty() ? IDLE_RETRY_MICROS : ACTIVE_RETRY_MICROS, now, out);
      return;
    }
    boolean mustWatch = false;
    boolean stopped = false;
    for (Run run : worker.runs.values()) {
      mustWatch |= run.phase != Run.Phase.STARTING;
      stopped |= run.phase == Run.Phase.STOPPED || run.phase == Run.Phase.STOPPING;
    }
    boolean mustKeep = !worker.foreignRuns.isEmpty() && earlierRuns.mayBelongToJob(now);
    if (mustWatch || mustKeep) {
      long wait = stopped ? STOP_REPORT_WAIT_MILLIS : policy.renewWaitMillis();
      renew(worker, leaseEnd(worker, now), wait, now, out);
      return;
    }
    if (!worker.foreignRuns.isEmpty()) {
      // Without a lease, so that nobody's run lives longer by it.
      renewAfter(worker, ACTIVE_RETRY_MICROS, now, out);
      return;
    }
    boolean mustAcknowledge =
        !policy.leadsDomain()
            && worker.acknowledged() > worker.acknowledgementSent
            && (worker.acknowledgementDeferred || now - worker.lastReportAt > ACK_DELAY_MICROS);
    boolean mustLook = worker.runs.isEmpty() && now - worker.lastReportAt > IDLE_POLL_MICROS;
    if (mustAcknowledge || mustLook) {
      renew(worker, 0, 0, now, out);
    }
  }

  /**
   * Tells whether to ask for a report beside a renewal that may wait long for an end: the task of a
   * stopped run can't run again before a report tells what became of that run.
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

  /** Asks for the next ends at once if it can show them, otherwise only often enough to renew. */
  private void renewForMoreCompletions(Worker worker, long now, List<DispatchAction> out) {
    if (worker.canReportMoreCompletions() || now - worker.lastRenewalAt > ACTIVE_RETRY_MICROS) {
      boolean mustKeep = !worker.foreignRuns.isEmpty() && earlierRuns.mayBelongToJob(now);
      boolean atWork = !worker.runs.isEmpty() || mustKeep;
      renew(worker, atWork ? leaseEnd(worker, now) : 0, 0, now, out);
    }
  }

  /** Asks for a report without extending any lease, unless one was asked for lately. */
  private void renewAfter(Worker worker, long pause, long now, List<DispatchAction> out) {
    if (worker.lastRenewalAt == 0 || now - worker.lastRenewalAt > pause) {
      renew(worker, 0, 0, now, out);
    }
  }

  private void renew(Worker worker, long lease, long wait, long now, List<DispatchAction> out) {
    worker.pendingRenewals++;
    worker.lastRenewalAt = now;
    worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, lease);
    worker.acknowledgementDeferred = worker.mayHaveRestarted;
    long acknowledged = mayAcknowledge(worker) ? worker.acknowledged() : 0;
    worker.acknowledgementSent = Math.max(worker.acknowledgementSent, acknowledged);
    out.add(new DispatchAction.Renew(worker.info(), acknowledged, lease, wait));
  }

  /** A domain's leader lets workers forget nothing, as the partition's leader must see it all. */
  private boolean mayAcknowledge(Worker worker) {
    return !worker.acknowledgementDeferred && !policy.leadsDomain();
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
