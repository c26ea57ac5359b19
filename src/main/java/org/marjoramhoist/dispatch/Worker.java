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

  private static final long FIRST_PAUSE_MICROS = 1_000_000;
  private static final long LONGEST_PAUSE_MICROS = 16_000_000;
  private static final int FAILURES_BEFORE_PAUSE = 3;
  private static final int CALLS_BEFORE_UNREACHABLE = 2;
  private static final double NOTABLE_SLOWNESS = 2.5;

  private WorkerInfo info;
  private int failureStreak;
  private long pauseMicros = FIRST_PAUSE_MICROS;
  private long pausedUntil;
  private int failedCalls;
  private long seenEnds;
  private final TreeSet<Long> heldEnds = new TreeSet<>();

  final Map<RunRef, Run> runs = new LinkedHashMap<>();
  final WorkerClock clock = new WorkerClock();

  /** Runs at work that no known job has; their needs are unknown. */
  final Map<RunRef, Long> foreignRuns = new HashMap<>();

  /** Tasks of unknown jobs that ended as done here. */
  final Set<TaskRef> foreignDone = new HashSet<>();

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
  boolean hasMoreEnds;

  /** How many renewals are under way. */
  int renewals;

  /** When the latest renewal was sent. */
  long renewedAt;

  long lastReportAt;
  long acknowledgedSent;

  /**
   * Whether it may have started again since its last report: then it must not be told to forget
   * ends, as it counts them anew.
   */
  boolean mayBeReborn;

  /** Whether the last renewal acknowledged nothing for that reason. */
  boolean acknowledgementHeldBack;

  long reportedBorn;

  /** When the latest report was written, on its clock. */
  long reportedMillis;

  /** How many times as long as predicted its present runs take; 1 if that is as expected. */
  double observedSlowness = 1;

  /** Ends of runs of unknown jobs, kept until all durable jobs are known. */
  final List<WorkerReport.Completion> foreignEnds = new ArrayList<>();

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
  void renewalEnded() {
    renewals = Math.max(0, renewals - 1);
  }

  boolean isReachable() {
    return failedCalls < CALLS_BEFORE_UNREACHABLE;
  }

  void callAnswered() {
    failedCalls = 0;
  }

  void callFailed() {
    failedCalls++;
    mayBeReborn = true;
  }

  /** Begins with another life of it, whose ends count from 1. */
  void reborn(long born) {
    reportedBorn = born;
    reportedMillis = 0;
    seenEnds = 0;
    acknowledgedSent = 0;
    heldEnds.clear();
    foreignEnds.clear();
    clock.reset();
  }

  /** Takes in that it lists an end; tells whether it did not before. */
  boolean seesEnd(long number) {
    boolean isNew = number > seenEnds;
    seenEnds = Math.max(seenEnds, number);
    return isNew;
  }

  /** Makes it keep an end until that is released. */
  CompletionHold holdCompletion(long number) {
    heldEnds.add(number);
    return new CompletionHold(this, reportedBorn, number);
  }

  /** Lets it forget an end of one of its lives. */
  void releaseEnd(long born, long number) {
    if (born == reportedBorn) {
      heldEnds.remove(number);
    }
  }

  /** Returns the number up to which it may forget its ends. */
  long acknowledged() {
    return heldEnds.isEmpty() ? seenEnds : heldEnds.first() - 1;
  }

  /** Tells whether another report may show ends that the last one had no place for. */
  boolean canShowMoreEnds() {
    return acknowledgementHeldBack || acknowledged() > acknowledgedSent;
  }

  /**
   * Tells whether it must stay known though it is not listed: runs of this leader, or runs that it
   * renews, may be at work on it, or it must keep ends that are not stored yet.
   */
  boolean mustStayKnown(long now) {
    boolean renewed = !foreignRuns.isEmpty() && !clock.surelyPast(leaseUntilMillis, now);
    return !runs.isEmpty() || renewed || !heldEnds.isEmpty();
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
    if (drained || runs.size() >= warmUp.mostTasks(now)) {
      return false;
    }
    return failureStreak < FAILURES_BEFORE_PAUSE || runs.isEmpty();
  }

  void succeeded() {
    observedSlowness = 1;
    failureStreak = 0;
    pauseMicros = FIRST_PAUSE_MICROS;
    pausedUntil = 0;
  }

  /**
   * Takes in a failure that may be its fault.
   *
   * @return whether it now gets no work for a time
   */
  boolean failed(long now) {
    failureStreak++;
    if (failureStreak < FAILURES_BEFORE_PAUSE) {
      return false;
    }
    pausedUntil = now + pauseMicros;
    pauseMicros = Math.min(LONGEST_PAUSE_MICROS, 2 * pauseMicros);
    return true;
  }

  /** Takes in how fast its runs make progress. */
  void observe(long now) {
    double slowest = 0;
    for (Run run : runs.values()) {
      slowest = Math.max(slowest, run.slowness(now));
    }
    observedSlowness = slowest > NOTABLE_SLOWNESS ? slowest : 1;
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
