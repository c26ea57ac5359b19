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
 * A worker as the leader knows it.
 *
 * <p>Invariant: {@link #freeResources} is its capacity less the needs of {@link #runs}. Confined to
 * one thread.
 */
final class Worker {

  private static final long MIN_PAUSE_MICROS = 1_000_000;
  private static final long MAX_PAUSE_MICROS = 16_000_000;
  private static final int FAILURES_BEFORE_PAUSE = 3;
  private static final int FAILED_CALLS_BEFORE_UNREACHABLE = 2;
  private static final double SLOWNESS_THRESHOLD = 2.5;

  private WorkerInfo info;
  private int failureStreak;
  private long pauseMicros = MIN_PAUSE_MICROS;
  private long pausedUntil;
  private int failedCalls;
  private long lastCompletion;
  private final TreeSet<Long> heldCompletions = new TreeSet<>();

  final Map<RunRef, Run> runs = new LinkedHashMap<>();
  final WorkerClock clock = new WorkerClock();

  /** Runs at work that no known job has; their needs are unknown. */
  final Map<RunRef, Long> foreignRuns = new HashMap<>();

  /** Tasks of unknown jobs that ended as done here. */
  final Set<TaskRef> foreignCompletedTasks = new HashSet<>();

  /** What is learned of its run times beyond what its kind tells. */
  final DurationModel.Term durationTerm = new DurationModel.Term();

  /** How much work it may be given while it warms up. */
  final WarmUp warmUp = new WarmUp();

  Resources freeResources;

  private boolean drained;

  /** Whether it stands in the list of workers, or may be missing there as the store was away. */
  boolean listed = true;

  /** Whether the stored roster names it, so that a later leader looks for runs on it. */
  boolean inRoster;

  /** Whether it has answered this leader. */
  boolean synced;

  /** Whether its last report could not hold all its ends. */
  boolean hasMoreCompletions;

  /** How many renewals are under way. */
  int pendingRenewals;

  /** When the latest renewal was sent. */
  long lastRenewalAt;

  long lastReportAt;
  long acknowledgementSent;

  /**
   * Whether it may have started again since its last report: then it must not be told to forget
   * ends, as it counts them anew.
   */
  boolean mayHaveRestarted;

  /** Whether the last renewal acknowledged nothing for that reason. */
  boolean acknowledgementDeferred;

  long reportedBornMillis;

  /** When the latest report was written, on its clock. */
  long reportedClockMillis;

  /** How many times as long as predicted its present runs take; 1 if that is as expected. */
  double observedSlowness = 1;

  /** Ends of runs of unknown jobs, kept until all durable jobs are known. */
  final List<WorkerReport.Completion> foreignCompletions = new ArrayList<>();

  /** The latest end of a lease that this leader sent it, on its clock. */
  long leaseUntilMillis;

  Worker(WorkerInfo info) {
    setInfo(info);
    this.freeResources = info.capacity();
  }

  /** Takes in its newest entry in the list of workers. */
  void setInfo(WorkerInfo next) {
    if (info != null) {
      freeResources = freeResources.plus(next.capacity().minus(info.capacity()));
    }
    info = next;
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

  /** Counts the end of a renewal; it may have been sent before this worker was listed anew. */
  void recordRenewalEnd() {
    pendingRenewals = Math.max(0, pendingRenewals - 1);
  }

  boolean isReachable() {
    return failedCalls < FAILED_CALLS_BEFORE_UNREACHABLE;
  }

  void recordCallSuccess() {
    failedCalls = 0;
  }

  void recordCallFailure() {
    failedCalls++;
    mayHaveRestarted = true;
  }

  /** Begins with another life of it, whose ends count from 1. */
  void restarted(long born) {
    reportedBornMillis = born;
    reportedClockMillis = 0;
    lastCompletion = 0;
    acknowledgementSent = 0;
    heldCompletions.clear();
    foreignCompletions.clear();
    clock.reset();
  }

  /** Takes in that it lists an end; tells whether it did not before. */
  boolean recordCompletion(long number) {
    boolean isNew = number > lastCompletion;
    lastCompletion = Math.max(lastCompletion, number);
    return isNew;
  }

  /** Makes it keep an end until that is released. */
  CompletionHold holdCompletion(long number) {
    heldCompletions.add(number);
    return new CompletionHold(this, reportedBornMillis, number);
  }

  /** Lets it forget an end of one of its lives. */
  void releaseCompletion(long born, long number) {
    if (born == reportedBornMillis) {
      heldCompletions.remove(number);
    }
  }

  /** Returns the number up to which it may forget its ends. */
  long acknowledged() {
    return heldCompletions.isEmpty() ? lastCompletion : heldCompletions.first() - 1;
  }

  /** Tells whether another report may show ends that the last one had no place for. */
  boolean canReportMoreCompletions() {
    return acknowledgementDeferred || acknowledged() > acknowledgementSent;
  }

  /**
   * Tells whether it must stay known though it is not listed: runs of this leader, or runs that it
   * renews, may be at work on it, or it must keep ends that are not stored yet.
   */
  boolean mustBeRetained(long now) {
    boolean renewed = !foreignRuns.isEmpty() && !clock.hasCertainlyPassed(leaseUntilMillis, now);
    return !runs.isEmpty() || renewed || !heldCompletions.isEmpty();
  }

  /** Takes in whether the operator drains its failure domain. */
  void setDrained(boolean next, long now) {
    if (drained && !next) {
      warmUp.restart(now);
    }
    drained = next;
  }

  /** Tells whether the operator drains its failure domain, so that it gets no new work. */
  boolean isDrained() {
    return drained;
  }

  /** Tells whether it may be given work now or soon, as far as is known. */
  boolean isSchedulable() {
    return listed && isReachable() && !info.draining() && !drained;
  }

  /** Tells whether it may be given work. */
  boolean isUsable(long now) {
    boolean known = listed && inRoster && synced && clock.isKnown() && isReachable();
    if (!known || info.draining() || !foreignRuns.isEmpty() || now < pausedUntil) {
      return false;
    }
    if (drained || runs.size() >= warmUp.maxTasks(now)) {
      return false;
    }
    return failureStreak < FAILURES_BEFORE_PAUSE || runs.isEmpty();
  }

  void recordSuccess() {
    observedSlowness = 1;
    failureStreak = 0;
    pauseMicros = MIN_PAUSE_MICROS;
    pausedUntil = 0;
  }

  /**
   * Takes in a failure that may be its fault.
   *
   * @return whether it now gets no work for a time
   */
  boolean recordFailure(long now) {
    failureStreak++;
    if (failureStreak < FAILURES_BEFORE_PAUSE) {
      return false;
    }
    pausedUntil = now + pauseMicros;
    pauseMicros = Math.min(MAX_PAUSE_MICROS, 2 * pauseMicros);
    return true;
  }

  /** Takes in how fast its runs make progress. */
  void updateSlowness(long now) {
    double slowest = 0;
    for (Run run : runs.values()) {
      slowest = Math.max(slowest, run.slowness(now));
    }
    observedSlowness = slowest > SLOWNESS_THRESHOLD ? slowest : 1;
  }

  /** Gives it no work until a time, without regard to failures. */
  void pauseUntil(long time) {
    pausedUntil = Math.max(pausedUntil, time);
  }

  /** Counts the runs of a step of a job that may be at work on it. */
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
