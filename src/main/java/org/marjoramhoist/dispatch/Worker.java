package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/**
 * The leader's view of a worker.
 *
 * <p>Invariant: {@link #freeResources} is its capacity less the needs of {@link #runs}; it is
 * negative while the capacity has shrunk below these. Confined to one thread.
 */
final class Worker {

  private static final long MIN_PAUSE_MICROS = 1_000_000;
  private static final long MAX_PAUSE_MICROS = 16_000_000;
  private static final int FAILURES_BEFORE_PAUSE = 3;

  /** Covers two missed heartbeats. */
  private static final long MAX_CAPACITY_AGE_MILLIS = 4_000;

  private static final int FAILED_CALLS_BEFORE_UNREACHABLE = 2;

  private WorkerInfo info;
  private int failureStreak;
  private long pauseMicros = MIN_PAUSE_MICROS;
  private long pausedUntil;
  private long ejectedUntil;
  private long probeFrom;
  private int failedCalls;
  private long failingSince;
  private long lastHeardAt;
  private long lastCompletion;
  private final TreeSet<Long> heldCompletions = new TreeSet<>();

  final Map<RunRef, Run> runs = new LinkedHashMap<>();
  final WorkerClock clock = new WorkerClock();

  /**
   * Runs that it reports and that belong to no job known to this leader, with the time when each
   * was first reported or last ordered to stop; their resource needs are unknown.
   */
  final Map<RunRef, Long> foreignRuns = new HashMap<>();

  /** Tasks of unknown jobs that completed successfully on it. */
  final Set<TaskRef> foreignCompletedTasks = new HashSet<>();

  /** Its own term of the duration model, beyond that of its kind. */
  final DurationModel.Term durationTerm = new DurationModel.Term();

  /** Limits its tasks while it warms up. */
  final WarmUp warmUp = new WarmUp();

  Resources freeResources;

  /** Whether it was lost with others near it and has not answered since. */
  boolean lostWithOthers;

  /**
   * Until when it is retained, and asked, to learn what became of it; 0 if that is known or no run
   * was lost with it.
   */
  long soughtUntil;

  private boolean drained;

  /**
   * Whether it is in the list of workers, or may be missing there because the store was
   * unavailable.
   */
  boolean listed = true;

  /** Whether it is in the stored roster, so that a later leader looks for runs on it. */
  boolean inRoster;

  /** Whether it has reported all its runs and completions to this leader since its last restart. */
  boolean synced;

  /** Whether it has completions that its last report had no space for. */
  boolean hasMoreCompletions;

  /** The number of renewals that have not been answered or failed. */
  int pendingRenewals;

  /** When the latest renewal was sent; 0 if none was. */
  long lastRenewalAt;

  long lastReportAt;

  /** When its latest report was requested. */
  long lastReportRequestedAt;

  /** Whether it starts tasks beyond its capacity, as jobs for it have told. */
  boolean startsBeyondCapacity;

  private long exclusiveSince;
  long acknowledgementSent;

  /**
   * Whether it may have restarted since its last report. Completions must then not be acknowledged,
   * as a new incarnation numbers its completions from 1.
   */
  boolean mayHaveRestarted;

  /** Whether the last renewal acknowledged nothing because of a possible restart. */
  boolean acknowledgementDeferred;

  long reportedBornMillis;

  /** When this leader learned that it had restarted; 0 if it has not. */
  long restartedAt;

  /** Why the latest renewal was not answered; null if it was. */
  CallFailure lastFailure;

  /** Whether the process that now has its address is another worker. */
  boolean replaced;

  /** The only task that may be started on it; null if any may be. */
  Task reservedFor;

  /** Its clock in the latest report. */
  long reportedClockMillis;

  /** The lease that another leader may have granted it; recorded by the leader of a domain only. */
  ForeignLease foreignLease = new ForeignLease();

  private final SlownessEstimate slowness = new SlownessEstimate();

  /** How many times as long as predicted its runs currently take; 1 if they are as predicted. */
  double observedSlowness = 1;

  /** Completions of runs of unknown jobs, kept until the durable jobs are loaded. */
  final List<WorkerReport.Completion> foreignCompletions = new ArrayList<>();

  /** The latest lease expiry sent to it, on its clock. */
  long leaseUntilMillis;

  Worker(WorkerInfo info) {
    setInfo(info);
    this.freeResources = info.capacity();
  }

  /** Replaces its entry in the list of workers and adjusts its free resources. */
  void setInfo(WorkerInfo next) {
    if (info != null) {
      freeResources = freeResources.plus(next.capacity().minus(info.capacity()));
    }
    WorkerInfo last = info;
    info = next;
    if (last != null) {
      recordEarlierCapacity(last);
    }
  }

  /** Records what an earlier entry tells of its capacity, unless that is of another incarnation. */
  void recordEarlierCapacity(WorkerInfo earlier) {
    if (earlier.bornMillis() == info.bornMillis()) {
      info = info.withEarlierCapacity(earlier.largestCapacity());
    }
  }

  String id() {
    return info.id();
  }

  WorkerInfo info() {
    return info;
  }

  void add(Run run) {
    runs.put(run.ref, run);
    freeResources = freeResources.minus(run.need);
  }

  void remove(Run run) {
    if (runs.remove(run.ref) != null) {
      freeResources = freeResources.plus(run.need);
    }
  }

  /**
   * Records the end of a renewal, which may have been sent before the worker was removed and added
   * again.
   */
  void recordRenewalEnd() {
    pendingRenewals = Math.max(0, pendingRenewals - 1);
  }

  boolean isReachable() {
    return failedCalls < FAILED_CALLS_BEFORE_UNREACHABLE;
  }

  void recordCallSuccess(long now) {
    failedCalls = 0;
    failingSince = 0;
    lostWithOthers = false;
    lastHeardAt = now;
  }

  void recordCallFailure(long now) {
    if (failedCalls == 0) {
      failingSince = now;
    }
    failedCalls++;
    mayHaveRestarted = true;
  }

  /** Tells whether the latest call to it failed. */
  boolean isFailing() {
    return failedCalls > 0;
  }

  /** Returns since when all calls to it have failed; 0 if the latest was answered. */
  long failingSince() {
    return failingSince;
  }

  /** Returns when it last answered a call. */
  long lastHeardAt() {
    return lastHeardAt;
  }

  /** Tells whether a report shows a process other than the one that reported before. */
  boolean isRestartedIn(WorkerReport report) {
    return reportedBornMillis != 0 && report.bornMillis() != reportedBornMillis;
  }

  /** Resets what is known of its runs and clock after a restart. */
  void restarted(long bornMillis) {
    if (reportedBornMillis != 0) {
      foreignLease = new ForeignLease();
    }
    reportedBornMillis = bornMillis;
    reportedClockMillis = 0;
    lastCompletion = 0;
    acknowledgementSent = 0;
    heldCompletions.clear();
    foreignCompletions.clear();
    clock.reset();
  }

  /**
   * Records a completion that it reported.
   *
   * @return whether it was not reported before
   */
  boolean recordCompletion(long sequence) {
    boolean isNew = sequence > lastCompletion;
    lastCompletion = Math.max(lastCompletion, sequence);
    return isNew;
  }

  /** Prevents a completion from being acknowledged until it is released. */
  CompletionHold holdCompletion(long sequence) {
    heldCompletions.add(sequence);
    return new CompletionHold(this, reportedBornMillis, sequence);
  }

  /** Allows a completion of one of its incarnations to be acknowledged. */
  void releaseCompletion(long bornMillis, long sequence) {
    if (bornMillis == reportedBornMillis) {
      heldCompletions.remove(sequence);
    }
  }

  /** Returns the sequence number up to which its completions may be acknowledged. */
  long acknowledged() {
    return heldCompletions.isEmpty() ? lastCompletion : heldCompletions.first() - 1;
  }

  /**
   * Tells whether an acknowledgement would let it report completions that the last report had no
   * space for.
   */
  boolean canReportMoreCompletions() {
    return acknowledgementDeferred || acknowledged() > acknowledgementSent;
  }

  /**
   * Tells whether it must be retained though it is not listed: runs of this leader or runs renewed
   * by it may be running on it, it has completions that are not stored yet, or it is not known
   * whether its process has ended.
   */
  boolean mustBeRetained(long now) {
    boolean renewed = !foreignRuns.isEmpty() && !clock.hasCertainlyPassed(leaseUntilMillis, now);
    return !runs.isEmpty() || renewed || !heldCompletions.isEmpty() || now <= soughtUntil;
  }

  /** Sets whether the operator drains its failure domain. */
  void setDrained(boolean next, long now) {
    if (drained && !next) {
      warmUp.restart(now);
    }
    drained = next;
  }

  /**
   * Tells whether the operator drains its failure domain, so that no new work is assigned to it.
   */
  boolean isDrained() {
    return drained;
  }

  /** Tells whether it can be assigned work now or soon. */
  boolean isSchedulable() {
    return listed && isReachable() && !info.draining() && !drained;
  }

  /** Tells whether any task can be started on it now. */
  boolean isUsable(long now) {
    return reservedFor == null && isAvailable(now);
  }

  /** Tells whether tasks can be started on it now, if only the one that it is reserved for. */
  boolean isAvailable(long now) {
    return now >= ejectedUntil && isUsableUnlessEjected(now);
  }

  /** Tells whether it is assigned no work because runs on it failed. */
  boolean isEjected(long now) {
    return now < ejectedUntil;
  }

  /** Tells whether a task that no other worker can run may be tried on it though it is ejected. */
  boolean mayBeProbed(long now) {
    return isEjected(now)
        && now >= probeFrom
        && runs.isEmpty()
        && reservedFor == null
        && isUsableUnlessEjected(now);
  }

  private boolean isUsableUnlessEjected(long now) {
    boolean known = listed && inRoster && synced && clock.isKnown() && isReachable();
    if (!known || info.draining() || now < pausedUntil) {
      return false;
    }
    if (!foreignRuns.isEmpty() || !foreignLease.hasLapsed()) {
      return false;
    }
    if (drained || runs.size() >= warmUp.maxTasks(now)) {
      return false;
    }
    return failureStreak < FAILURES_BEFORE_PAUSE || runs.isEmpty();
  }

  /** Records a run that succeeded; {@link #updateSlowness} must follow. */
  void recordSuccess(Run run, long now) {
    double ratio = run.runTimeRatio(now);
    if (ratio > 0) {
      slowness.runCompleted(ratio, now);
    }
    failureStreak = 0;
    pauseMicros = MIN_PAUSE_MICROS;
    pausedUntil = 0;
    ejectedUntil = 0;
  }

  /**
   * Records a failure that it may have caused.
   *
   * @return whether no work is assigned to it for a time
   */
  boolean recordFailure(long now) {
    failureStreak++;
    if (failureStreak < FAILURES_BEFORE_PAUSE) {
      return false;
    }
    ejectedUntil = now + pauseMicros;
    probeFrom = now + MIN_PAUSE_MICROS;
    pauseMicros = Math.min(MAX_PAUSE_MICROS, 2 * pauseMicros);
    return true;
  }

  /** Updates {@link #observedSlowness} from its active and its recent runs. */
  void updateSlowness(long now) {
    observedSlowness = slowness.estimate(runs.values(), now);
  }

  /** Returns what is known of the cause if a run is lost with it. */
  WorkerLoss.Evidence lossEvidence(Run run) {
    if (replaced || run.orderedAt < restartedAt) {
      return WorkerLoss.Evidence.CRASHED;
    }
    return lastFailure == CallFailure.REFUSED
        ? WorkerLoss.Evidence.REFUSED
        : WorkerLoss.Evidence.SILENT;
  }

  /** Tells whether its capacity is what its entry says, or was until a moment ago. */
  boolean isCapacityKnown(long now) {
    boolean tellsClock = info.clockMillis() > 0 && clock.isKnown();
    return !tellsClock
        || info.bornMillis() == reportedBornMillis
            && clock.estimate(now) - info.clockMillis() <= MAX_CAPACITY_AGE_MILLIS;
  }

  /** Sets whether another leader may be using it. */
  void setShared(boolean shared, long now) {
    if (shared) {
      exclusiveSince = Long.MAX_VALUE;
    } else if (isShared()) {
      exclusiveSince = now;
    }
  }

  /** Tells whether another leader may be using it. */
  boolean isShared() {
    return exclusiveSince == Long.MAX_VALUE;
  }

  /** Tells whether no other leader can be using it, and all that runs on it is known. */
  boolean isExclusive() {
    return !isShared() && lastReportRequestedAt >= exclusiveSince;
  }

  /** Tells whether a report is needed before a task can be started that it would not reject. */
  boolean needsReportOfRuns() {
    return startsBeyondCapacity && !isShared() && !isExclusive();
  }

  /** Returns the predicted time until its runs have ended. */
  double remainingMicros(long now) {
    return runs.values().stream().mapToDouble(run -> run.remainingMicros(now)).max().orElse(0);
  }

  /** Returns how many tasks of the given CPU requirement its free capacity has room for. */
  long placesFor(long cpuMillis) {
    return Math.max(0, freeResources.cpuMillis()) / Math.max(1, cpuMillis);
  }

  /** Assigns no work to it until a time, regardless of failures. */
  void pauseUntil(long time) {
    pausedUntil = Math.max(pausedUntil, time);
  }

  /** Counts its runs that belong to a step of a job. */
  int countRuns(Job job, int step) {
    int count = 0;
    for (Run run : runs.values()) {
      if (run.task.job == job && run.ref.task().step() == step) {
        count++;
      }
    }
    return count;
  }
}
