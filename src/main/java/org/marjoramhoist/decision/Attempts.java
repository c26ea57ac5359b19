package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage.WorkerHint;
import org.marjoramhoist.model.AttemptId;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.TaskResult;

/**
 * Follows every attempt to its end: not started, ended, or unknown.
 *
 * <ul>
 *   <li>A task that was surely not started is free to be tried elsewhere.
 *   <li>An idempotent task is started again only once its earlier start is surely over.
 *   <li>A task that is not idempotent is never started again; if its outcome can't be learned
 *       before its lease has lapsed, the job fails and says so.
 * </ul>
 *
 * <p>Confined to one thread.
 */
final class Attempts {

  private static final long MIN_CHECK = Policy.MICROS_PER_SECOND;
  private static final long MAX_CHECK = 10 * Policy.MICROS_PER_SECOND;
  private static final long FIRST_UNCLEAR_CHECK = 100 * Policy.MICROS_PER_MILLI;
  private static final long MAX_UNCLEAR_CHECK = Policy.MICROS_PER_SECOND;
  private static final long LEASE_GRACE = 2 * Policy.MICROS_PER_SECOND;
  private static final long CLOCK_MARGIN = 500 * Policy.MICROS_PER_MILLI;
  private static final long REFUSAL_HOLD = 100 * Policy.MICROS_PER_MILLI;
  private static final long NOT_WORTH_STOPPING = 100 * Policy.MICROS_PER_MILLI;
  private static final double CHECK_FACTOR = 8;

  /** Hears what became of a job's tasks. */
  interface JobEvents {
    void taskWaits(long now, JobRun job, UpstreamState upstream);

    void taskCompleted(long now, JobRun job, Actions out);

    void taskFailed(long now, JobRun job, ErrorKind kind, String detail, Actions out);
  }

  private record Check(long at, Attempt attempt) {}

  private final Ledger ledger;
  private final JobEvents events;
  private final RetryBudget budget = new RetryBudget();
  private final Map<AttemptId, Attempt> open = new HashMap<>();
  private final PriorityQueue<Check> checks =
      new PriorityQueue<>(Comparator.comparingLong(Check::at));
  private final Map<String, WorkerHint> hints = new HashMap<>();

  Attempts(Ledger ledger, JobEvents events) {
    this.ledger = ledger;
    this.events = events;
  }

  int size() {
    return open.size();
  }

  /** Returns what the other hosts should know of workers. */
  List<WorkerHint> hints() {
    return new ArrayList<>(hints.values());
  }

  /** Starts an attempt. */
  void start(Attempt attempt, long now, Actions out) {
    open.put(attempt.id(), attempt);
    if (attempt.job().starts(attempt.task()) == 1) {
      budget.earn(attempt.job().spec().team());
    }
    long interval = (long) Math.max(MIN_CHECK, CHECK_FACTOR * attempt.expected());
    plan(attempt, now, Math.min(MAX_CHECK, interval));
    attempt.renewLease(attempt.nextCheck() + LEASE_GRACE);
    out.add(
        new Action.Start(
            attempt.id(),
            attempt.worker().spec(),
            attempt.job().spec(),
            attempt.task(),
            attempt.leaseDeadline()));
  }

  private void plan(Attempt attempt, long now, long interval) {
    attempt.planCheck(now, interval);
    checks.add(new Check(attempt.nextCheck(), attempt));
  }

  /** Tells the worker of an ended job to stop, unless the task is about to end by itself. */
  void abort(long now, AttemptId id, Actions out) {
    Attempt attempt = open.get(id);
    if (attempt == null) {
      return;
    }
    double left = attempt.startedAt() + attempt.expected() - now;
    if (left <= 0 || left > NOT_WORTH_STOPPING) {
      out.add(new Action.CountWaste(Waste.CANCEL));
      out.add(new Action.Abort(id, attempt.worker().spec()));
    }
  }

  /**
   * Takes in the answer on the attempt's own connection.
   *
   * @return the upstream that may have a free slot now; null if the attempt is not open
   */
  UpstreamState ended(long now, AttemptId id, Outcome outcome, Actions out) {
    Attempt attempt = open.get(id);
    if (attempt == null) {
      out.add(new Action.CountWaste(Waste.LATE));
      return null;
    }
    if (outcome instanceof Outcome.Unknown unknown) {
      out.log(LogEvent.ATTEMPT_UNKNOWN, "attempt=" + id + " reason=" + unknown.reason());
      attempt.setUnclear();
      noteFailure(now, attempt, out);
      ask(now, attempt, out);
      return attempt.upstream();
    }
    resolve(now, attempt, outcome, out);
    return attempt.upstream();
  }

  /**
   * Takes in the answer to a question about the attempt.
   *
   * @return the upstream that may have a free slot now; null if the attempt is not open
   */
  UpstreamState settled(long now, AttemptId id, Outcome outcome, Actions out) {
    Attempt attempt = open.get(id);
    if (attempt == null) {
      return null;
    }
    attempt.setAsking(false);
    if (outcome instanceof Outcome.Running) {
      attempt.setRunning();
      plan(attempt, now, nextInterval(attempt));
      return null;
    }
    if (outcome instanceof Outcome.Unknown || outcome instanceof Outcome.NotSent) {
      waitForLease(now, attempt, out);
      return attempt.upstream();
    }
    resolve(now, attempt, outcome, out);
    return attempt.upstream();
  }

  private static long nextInterval(Attempt attempt) {
    long longest = attempt.isUnclear() ? MAX_UNCLEAR_CHECK : MAX_CHECK;
    return Math.min(longest, attempt.checkInterval() * 2);
  }

  /** The worker can't be asked: what it may still run is over once its lease has lapsed. */
  private void waitForLease(long now, Attempt attempt, Actions out) {
    attempt.setUnclear();
    if (now < attempt.leaseDeadline() + CLOCK_MARGIN) {
      plan(attempt, now, Math.min(MAX_UNCLEAR_CHECK, FIRST_UNCLEAR_CHECK * 2));
      return;
    }
    close(now, attempt);
    ledger.ran(now, attempt, ErrorKind.OUTCOME_UNKNOWN, now - attempt.startedAt());
    startAgainOrFail(now, attempt, ErrorKind.OUTCOME_UNKNOWN, "worker can't be reached", out);
  }

  private void resolve(long now, Attempt attempt, Outcome outcome, Actions out) {
    close(now, attempt);
    if (outcome instanceof Outcome.Succeeded success) {
      succeeded(now, attempt, success, out);
    } else if (outcome instanceof Outcome.NotStarted refusal) {
      refused(now, attempt, refusal, out);
    } else if (outcome instanceof Outcome.NotSent) {
      noteFailure(now, attempt, out);
      waitElsewhere(now, attempt, out);
    } else if (outcome instanceof Outcome.Forgotten) {
      ledger.ran(now, attempt, ErrorKind.OUTCOME_UNKNOWN, now - attempt.startedAt());
      startAgainOrFail(now, attempt, ErrorKind.OUTCOME_UNKNOWN, "worker was restarted", out);
    } else if (outcome instanceof Outcome.Failed failure) {
      out.log(LogEvent.ATTEMPT_FAILED, "attempt=" + attempt.id() + " " + failure.detail());
      noteFailure(now, attempt, out);
      ledger.ran(now, attempt, ErrorKind.TASK_FAILED, failure.runMicros());
      startAgainOrFail(now, attempt, ErrorKind.TASK_FAILED, failure.detail(), out);
    }
  }

  private void close(long now, Attempt attempt) {
    open.remove(attempt.id());
    attempt.worker().ended();
    attempt.upstream().addRunning(-1);
    attempt.upstream().pool().refresh(now, attempt.worker());
  }

  private void succeeded(long now, Attempt attempt, Outcome.Succeeded success, Actions out) {
    WorkerState worker = attempt.worker();
    JobRun job = attempt.job();
    worker.health().succeeded(worker.spec().slots());
    if (worker.health().state() == WorkerHealth.State.HEALTHY && !worker.isLeaving()) {
      hints.remove(worker.id().value());
    }
    attempt
        .upstream()
        .runTimes()
        .learn(
            job.spec().classId(),
            worker.id(),
            attempt.task().declaredMillis() * Policy.MICROS_PER_MILLI,
            job.requestClass().expectedMillis() * Policy.MICROS_PER_MILLI,
            success.runMicros());
    attempt.upstream().pool().refresh(now, worker);
    ledger.ran(now, attempt, null, success.runMicros());
    if (job.isEnded()) {
      out.add(new Action.CountWaste(Waste.LATE));
      return;
    }
    TaskResult result =
        new TaskResult(attempt.task().id(), success.value(), worker.id(), success.runMicros());
    job.complete(attempt.id(), result, worker.spec().rack());
    events.taskCompleted(now, job, out);
  }

  private void refused(long now, Attempt attempt, Outcome.NotStarted refusal, Actions out) {
    out.add(new Action.CountWaste(Waste.REFUSED));
    out.log(LogEvent.ATTEMPT_REFUSED, "attempt=" + attempt.id() + " " + refusal.reason());
    if (refusal.leaving()) {
      leaving(now, attempt.upstream(), attempt.worker(), out);
    }
    attempt.worker().holdOff(now + REFUSAL_HOLD);
    attempt.upstream().pool().refresh(now, attempt.worker());
    attempt.upstream().pool().wakeAt(now + REFUSAL_HOLD, attempt.worker());
    waitElsewhere(now, attempt, out);
  }

  /** Puts a task back that was surely not started. */
  private void waitElsewhere(long now, Attempt attempt, Actions out) {
    JobRun job = attempt.job();
    if (job.isEnded()) {
      return;
    }
    job.neverStarted(attempt.task());
    waitAgain(now, attempt);
  }

  private void waitAgain(long now, Attempt attempt) {
    JobRun job = attempt.job();
    job.waitAgain(attempt.id(), attempt.task(), attempt.worker().spec().rack());
    events.taskWaits(now, job, attempt.upstream());
  }

  private void startAgainOrFail(
      long now, Attempt attempt, ErrorKind kind, String detail, Actions out) {
    JobRun job = attempt.job();
    if (job.isEnded()) {
      return;
    }
    boolean allowed =
        attempt.task().idempotent()
            && job.starts(attempt.task()) < job.requestClass().maxAttempts()
            && budget.spend(job.spec().team());
    if (allowed) {
      out.add(new Action.CountWaste(Waste.RETRY));
      job.avoid(attempt.worker().id());
      waitAgain(now, attempt);
    } else {
      String text = "task " + attempt.task().id() + ": " + detail;
      events.taskFailed(now, job, kind, text, out);
    }
  }

  private void noteFailure(long now, Attempt attempt, Actions out) {
    WorkerState worker = attempt.worker();
    WorkerPool pool = attempt.upstream().pool();
    if (worker.health().failed(now, pool.mayEject())) {
      out.log(LogEvent.WORKER_EJECTED, "worker=" + worker.id());
      hints.put(
          worker.id().value(),
          new WorkerHint(attempt.upstream().id().value(), worker.id().value(), false));
      pool.wakeAt(worker.health().ejectedUntil(), worker);
    }
    pool.refresh(now, worker);
  }

  /** Takes in that a worker leaves. */
  void leaving(long now, UpstreamState upstream, WorkerState worker, Actions out) {
    if (!worker.isLeaving()) {
      worker.leave();
      out.log(LogEvent.WORKER_LEAVING, "worker=" + worker.id());
      hints.put(
          worker.id().value(), new WorkerHint(upstream.id().value(), worker.id().value(), true));
      upstream.pool().refresh(now, worker);
    }
  }

  /** Asks about attempts that have been silent for too long. */
  void tick(long now, Actions out) {
    while (!checks.isEmpty() && checks.peek().at <= now) {
      Attempt attempt = checks.poll().attempt;
      boolean due = open.containsKey(attempt.id()) && attempt.nextCheck() <= now;
      if (due && !attempt.isAsking()) {
        ask(now, attempt, out);
      }
    }
  }

  private void ask(long now, Attempt attempt, Actions out) {
    if (attempt.isAsking()) {
      return;
    }
    attempt.setAsking(true);
    if (attempt.isUnclear()) {
      attempt.planCheck(now, FIRST_UNCLEAR_CHECK);
    }
    if (attempt.isRenewable()) {
      attempt.renewLease(now + nextInterval(attempt) + LEASE_GRACE);
    }
    out.add(new Action.CountWaste(Waste.PROBE));
    out.add(
        new Action.Settle(
            attempt.id(), attempt.worker().spec(), attempt.startedAt(), attempt.leaseDeadline()));
  }
}
