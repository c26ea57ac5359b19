package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.job.JobOutcome;

/**
 * What the outcome of a task's run means for its job.
 *
 * <p>Invariant: the outcome of a job that is no longer open changes nothing of it. Confined to one
 * thread.
 */
final class TaskOutcomes {

  /** How long a task avoids a worker that failed it while others could run it. */
  private static final long AVOIDANCE_MICROS = 2_000_000;

  /** How long a task waits for the only worker that could run it and that failed it. */
  private static final long RETRY_PAUSE_MICROS = 500_000;

  private final JobRegistry jobs;
  private final SuspectTasks suspects;
  private final WorkerRegistry workers;
  private final DurableJobs durableJobs;
  private final JobFinisher jobFinisher;

  TaskOutcomes(
      JobRegistry jobs,
      SuspectTasks suspects,
      WorkerRegistry workers,
      DurableJobs durableJobs,
      JobFinisher jobFinisher) {
    this.jobs = jobs;
    this.suspects = suspects;
    this.workers = workers;
    this.durableJobs = durableJobs;
    this.jobFinisher = jobFinisher;
  }

  /** Handles that a task is done; ends its job if that was the last one. */
  void done(Task task, long now, List<DispatchAction> out) {
    Job job = task.job;
    if (jobs.find(job.id()) != job) {
      return;
    }
    job.markDone(task);
    suspects.taskDone(task);
    durableJobs.recordProgress(job, now);
    if (job.isComplete()) {
      jobFinisher.end(job, JobOutcome.SUCCEEDED, "done", now, out);
    } else {
      jobs.markWaiting(job);
    }
  }

  /** Handles that a run of a task failed; ends its job if that was the last attempt. */
  void failed(Task task, int run, String worker, long now, List<DispatchAction> out) {
    Job job = task.job;
    task.recordFailure(run);
    avoid(task, worker, now);
    if (jobs.find(job.id()) != job) {
      return;
    }
    durableJobs.recordProgress(job, now);
    int failed = task.failedRunCount();
    if (failed >= job.requestClass().attempts()) {
      jobFinisher.end(job, JobOutcome.FAILED, "a task failed " + failed + " times", now, out);
    } else {
      jobs.markWaiting(job);
    }
  }

  /** Avoids a worker for a time, which is short if no other one could run the task. */
  void avoid(Task task, String worker, long now) {
    boolean hasAlternative = workers.canRunElsewhere(task, worker, now);
    task.avoid(worker, now + (hasAlternative ? AVOIDANCE_MICROS : RETRY_PAUSE_MICROS));
  }
}
