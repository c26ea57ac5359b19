package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.DispatchEvent.JobSubmitted;
import org.marjoramhoist.dispatch.RecentOutcomes.Outcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFootprint;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.SubmissionNumber;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.model.SharedBound;

/**
 * The open jobs and the outcomes of recently ended jobs.
 *
 * <p>Invariant: no task of a resubmitted job is started while runs of its previous submission are
 * possibly running. Confined to one thread.
 */
final class JobRegistry {

  /** Why a job is refused for which there is no room. */
  static final String TOO_MANY_TASKS = "too many tasks are open";

  /** Why a job is refused that would take more memory than there is for jobs. */
  static final String TOO_MANY_BYTES = "open jobs take too much memory";

  private static final long MICROS_PER_MILLI = 1_000;

  private final SharedBound taskBound;
  private final SharedBound byteBound;
  private final Map<JobId, Job> open = new LinkedHashMap<>();
  private final Map<JobId, Job> terminating = new HashMap<>();
  private final RecentOutcomes outcomes = new RecentOutcomes();
  private final Set<Job> waiting = new LinkedHashSet<>();
  private final List<Job> newlyWaiting = new ArrayList<>();
  private long openTasks;

  /** The memory that open jobs take, by the estimate of {@link JobFootprint}. */
  private long openBytes;

  /**
   * Creates a registry without jobs.
   *
   * @param maxOpenTasks the most tasks of open jobs
   * @param maxOpenBytes the most memory for jobs, in bytes
   */
  JobRegistry(int maxOpenTasks, long maxOpenBytes) {
    this.taskBound = new SharedBound(maxOpenTasks);
    this.byteBound = new SharedBound(maxOpenBytes);
  }

  /**
   * Returns why there is no room for a job that is not open yet; empty if there is.
   *
   * @param otherBytes the memory that jobs take which are not open
   */
  Optional<String> lackOfRoom(JobDescription job, long otherBytes) {
    return lackOfRoom(
        openTasks, job.taskCount(), openBytes + otherBytes, JobFootprint.bytesOf(job));
  }

  /** Returns why there is no room for an open job beside the others; empty if there is. */
  Optional<String> lackOfRoom(Job job, long otherBytes) {
    int tasks = job.description().taskCount();
    long bytes = JobFootprint.bytesOf(job.description());
    return lackOfRoom(openTasks - tasks, tasks, openBytes - bytes + otherBytes, bytes);
  }

  private Optional<String> lackOfRoom(
      long tasksOfOthers, int tasks, long bytesOfOthers, long bytes) {
    if (!taskBound.admits(tasksOfOthers, tasks)) {
      return Optional.of(TOO_MANY_TASKS);
    }
    return byteBound.admits(bytesOfOthers, bytes) ? Optional.empty() : Optional.of(TOO_MANY_BYTES);
  }

  private void open(Job job) {
    count(job, 1);
    Job replaced = open.put(job.id(), job);
    if (replaced != null) {
      count(replaced, -1);
    }
  }

  private void count(Job job, int sign) {
    openTasks += sign * job.description().taskCount();
    openBytes += sign * JobFootprint.bytesOf(job.description());
  }

  Job find(JobId id) {
    return open.get(id);
  }

  Collection<Job> all() {
    return open.values();
  }

  /** Returns the outcomes of jobs that ended recently. */
  RecentOutcomes outcomes() {
    return outcomes;
  }

  /** Returns the open jobs and the ended jobs whose runs are possibly running. */
  Set<JobId> possiblyRunningJobs() {
    Set<JobId> ids = new LinkedHashSet<>(open.keySet());
    ids.addAll(terminating.keySet());
    return ids;
  }

  /** Returns the jobs that may have tasks to start. */
  Set<Job> waiting() {
    return waiting;
  }

  /** Returns and clears the jobs that started waiting since the last call. */
  List<Job> removeNewlyWaiting() {
    List<Job> removed = List.copyOf(newlyWaiting);
    newlyWaiting.clear();
    return removed;
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
   * Handles a submission.
   *
   * @return the new job; null if the job is open already, or if an earlier outcome was returned
   */
  Job submit(JobSubmitted event, long now, List<DispatchAction> out) {
    JobId id = event.job().id();
    Job openJob = open.get(id);
    if (openJob != null) {
      out.add(new Log(LogEvent.JOB_SUBMITTED, describe(event, now) + " previous=OPEN"));
      openJob.entries.put(event.entry(), submission(event));
      openJob.deadline = Math.max(openJob.deadline, event.deadline());
      openJob.recordResubmission(event.generation());
      return null;
    }
    Outcome answer = outcomes.takeAnswer(id, event.heardAt(), now);
    if (answer != null) {
      out.add(
          new Log(LogEvent.JOB_SUBMITTED, describe(event, now) + " previous=" + answer.outcome()));
      out.add(finish(event, answer, now));
      return null;
    }
    Outcome previous = outcomes.find(id);
    out.add(
        previous == null
            ? new Log(LogEvent.JOB_SUBMITTED, describe(event, now) + " previous=NONE")
            : new Log(
                LogEvent.JOB_SUBMITTED_AGAIN, describe(event, now) + describe(previous, now)));
    Job job =
        new Job(
            event.job(),
            event.requestClass(),
            event.arrivedAt(),
            event.deadline(),
            event.generation());
    job.entries.put(event.entry(), submission(event));
    job.origin = event.origin();
    if (previous != null) {
      job.raiseRunNumbers(previous.lastRunNumber());
      job.started |= previous.started();
    }
    open(job);
    addWaiting(job);
    return job;
  }

  private static Job.Submission submission(JobSubmitted event) {
    return new Job.Submission(event.number(), event.heardAt());
  }

  private static Map<String, SubmissionNumber> lastNumbers(Job job) {
    Map<String, SubmissionNumber> numbers = new HashMap<>();
    job.entries.forEach((entry, submission) -> numbers.put(entry, submission.number()));
    return numbers;
  }

  /**
   * Returns the answer to a submission of a job that has ended. A job that a previous leader may
   * have started is not reported as not run.
   */
  private static DispatchAction finish(JobSubmitted event, Outcome answer, long now) {
    boolean mayHaveRun = answer.started() || event.generation() > 0;
    JobOutcome outcome =
        answer.outcome() == JobOutcome.REFUSED && mayHaveRun
            ? JobOutcome.ABANDONED
            : answer.outcome();
    return new DispatchAction.Finish(
        event.job().id(),
        Map.of(event.entry(), event.number()),
        outcome,
        answer.reason(),
        answer.retryAfterMillis(now));
  }

  /** Adds a durable job. Its tasks may start only after the job is stored. */
  void add(Job job) {
    open(job);
    if (job.stored) {
      addWaiting(job);
    }
  }

  /**
   * Returns whether runs of an earlier submission of the same job are possibly running. If there
   * are none left, the earlier submission is removed.
   */
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

  /**
   * Ends a job.
   *
   * @return the runs that must be stopped
   */
  List<Run> end(
      Job job,
      JobOutcome outcome,
      String reason,
      long retryAfterMillis,
      long now,
      List<DispatchAction> out) {
    Job removed = open.remove(job.id());
    if (removed != null) {
      count(removed, -1);
    }
    waiting.remove(job);
    List<Run> runs = job.runs();
    if (!job.isDurable()) {
      if (!runs.isEmpty()) {
        terminating.put(job.id(), job);
      }
      long retryAt = now + retryAfterMillis * MICROS_PER_MILLI;
      outcomes.add(
          job.id(), new Outcome(outcome, reason, retryAt, now, job.started, job.lastRunNumber()));
      out.add(
          new DispatchAction.Finish(job.id(), lastNumbers(job), outcome, reason, retryAfterMillis));
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

  private static String describe(JobSubmitted event, long now) {
    return "job="
        + event.job().id()
        + " entry="
        + event.entry()
        + " generation="
        + event.generation()
        + " ageMicros="
        + (now - event.arrivedAt());
  }

  private static String describe(Outcome previous, long now) {
    return " previous="
        + previous.outcome()
        + " agoMicros="
        + (now - previous.endedAt())
        + " started="
        + previous.started()
        + " reason="
        + previous.reason();
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

  /** Removes ended jobs that have no runs left, and outcomes that are too old or too many. */
  void prune(long now) {
    terminating.values().removeIf(job -> job.runs().isEmpty());
    outcomes.prune(now);
  }

  /** Returns the number of jobs without a started task, by the name of the request class. */
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
