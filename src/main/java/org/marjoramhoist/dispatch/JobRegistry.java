package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.DispatchEvent.JobSubmitted;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.log.LogEvent;

/**
 * The jobs that have not ended, and the ends of those that lately did.
 *
 * <p>Invariant: a job that was handed in again has no task started while runs of its earlier
 * submission may be at work. Confined to one thread.
 */
final class JobRegistry {

  private static final long ENDED_RETENTION_MICROS = 15_000_000;
  private static final int MAX_ENDED_JOBS = 20_000;

  private record Ended(
      JobOutcome outcome, String reason, long endedAt, boolean started, int lastRun) {}

  private final Map<JobId, Job> open = new LinkedHashMap<>();
  private final Map<JobId, Job> terminating = new HashMap<>();
  private final Map<JobId, Ended> ended = new LinkedHashMap<>();
  private final Set<Job> waiting = new LinkedHashSet<>();
  private final List<Job> newlyWaiting = new ArrayList<>();

  Job find(JobId id) {
    return open.get(id);
  }

  Collection<Job> all() {
    return open.values();
  }

  /** Returns the jobs that are open, and those that have ended with runs that may be at work. */
  Set<JobId> possiblyRunningJobs() {
    Set<JobId> ids = new LinkedHashSet<>(open.keySet());
    ids.addAll(terminating.keySet());
    return ids;
  }

  /** Returns the jobs that may have tasks to start. */
  Set<Job> waiting() {
    return waiting;
  }

  /** Returns those of the waiting jobs that were not when this was called last. */
  List<Job> removeNewlyWaiting() {
    List<Job> taken = List.copyOf(newlyWaiting);
    newlyWaiting.clear();
    return taken;
  }

  void markWaiting(Job job) {
    if (open.get(job.id()) == job) {
      addWaiting(job);
    }
  }

  private void addWaiting(Job job) {
    if (waiting.add(job)) {
      newlyWaiting.add(job);
    }
  }

  /**
   * Takes in a submission.
   *
   * @return the new job; null if it joined one that is open, or was answered
   */
  Job submit(JobSubmitted event, long now, List<DispatchAction> out) {
    JobId id = event.job().id();
    Job known = open.get(id);
    if (known != null) {
      known.entries.add(event.entry());
      known.deadline = Math.max(known.deadline, event.deadline());
      known.recordResubmission(event.generation());
      return null;
    }
    Ended before = ended.get(id);
    if (before != null && isFinal(before.outcome())) {
      out.add(
          new DispatchAction.Finish(
              id, Set.of(event.entry()), before.outcome(), before.reason(), 0));
      return null;
    }
    Job job =
        new Job(
            event.job(),
            event.requestClass(),
            event.arrivedAt(),
            event.deadline(),
            event.generation());
    job.entries.add(event.entry());
    job.origin = event.origin();
    if (before != null) {
      job.raiseRunNumbers(before.lastRun());
      job.started |= before.started();
    }
    open.put(id, job);
    addWaiting(job);
    return job;
  }

  /** Adds a durable job; its tasks wait once it is stored. */
  void add(Job job) {
    open.put(job.id(), job);
    if (job.stored) {
      addWaiting(job);
    }
  }

  private static boolean isFinal(JobOutcome outcome) {
    return outcome == JobOutcome.SUCCEEDED || outcome == JobOutcome.FAILED;
  }

  /** Tells whether runs of an earlier submission of the same job may be at work. */
  boolean isBlockedByEarlierRun(Job job) {
    Job earlier = terminating.get(job.id());
    if (earlier == null) {
      return false;
    }
    if (!earlier.runs().isEmpty()) {
      return true;
    }
    job.raiseRunNumbers(earlier.lastRunNumber());
    terminating.remove(job.id());
    return false;
  }

  /** Ends a job and returns the runs of it that must be stopped. */
  List<Run> end(
      Job job,
      JobOutcome outcome,
      String reason,
      long retryAfterMillis,
      long now,
      List<DispatchAction> out) {
    open.remove(job.id());
    waiting.remove(job);
    List<Run> runs = job.runs();
    if (!job.isDurable()) {
      if (!runs.isEmpty()) {
        terminating.put(job.id(), job);
      }
      ended.put(job.id(), new Ended(outcome, reason, now, job.started, job.lastRunNumber()));
      out.add(
          new DispatchAction.Finish(
              job.id(), Set.copyOf(job.entries), outcome, reason, retryAfterMillis));
    }
    out.add(new Log(eventOf(outcome), describe(job, reason, now)));
    return runs;
  }

  private static LogEvent eventOf(JobOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> LogEvent.JOB_COMPLETED;
      case FAILED -> LogEvent.JOB_FAILED;
      case REFUSED -> LogEvent.JOB_REFUSED;
      case CANCELLED, ABANDONED -> LogEvent.JOB_ABANDONED;
    };
  }

  private static String describe(Job job, String reason, long now) {
    return "job="
        + job.id()
        + " class="
        + job.requestClass().name()
        + " tasks="
        + job.description().taskCount()
        + " started="
        + job.started
        + " ageMicros="
        + (now - job.arrivedAt)
        + " reason="
        + reason;
  }

  /** Forgets runs of ended jobs that are over, and ends of long ago. */
  void prune(long now) {
    terminating.values().removeIf(job -> job.runs().isEmpty());
    List<JobId> old = new ArrayList<>();
    for (Map.Entry<JobId, Ended> each : ended.entrySet()) {
      boolean tooMany = ended.size() - old.size() > MAX_ENDED_JOBS;
      if (!tooMany && now - each.getValue().endedAt() < ENDED_RETENTION_MICROS) {
        break;
      }
      old.add(each.getKey());
    }
    old.forEach(ended::remove);
  }

  /** Counts the jobs without a started task, by the name of their class. */
  Map<String, Integer> waitingJobsByClass() {
    Map<String, Integer> counts = new HashMap<>();
    for (Job job : open.values()) {
      if (!job.started) {
        counts.merge(job.requestClass().name(), 1, Integer::sum);
      }
    }
    return counts;
  }
}
