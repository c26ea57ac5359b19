package org.marjoramhoist.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.TaskRef;

/**
 * A task of a job.
 *
 * <p>Invariant: at most one run of the task, {@link #run}, is possibly running. Confined to one
 * thread.
 */
final class Task {

  final Job job;
  final TaskRef ref;

  /** The run that is possibly running; null if there is none. */
  Run run;

  boolean done;
  int lastRunNumber;

  /** The numbers of the failed runs; empty for most tasks. */
  private Set<Integer> failedRuns = Set.of();

  /** The worker of the most recent failed run; null if no run failed. */
  String lastFailedWorker;

  Task(Job job, int step, int index, int lastRunNumber) {
    this.job = job;
    this.ref = new TaskRef(job.id(), step, index);
    this.lastRunNumber = lastRunNumber;
  }

  StepSpec spec() {
    return job.description().steps().get(ref.step());
  }

  /** Records a failed run. */
  void noteFailure(int number) {
    Set<Integer> updated = new HashSet<>(failedRuns);
    updated.add(number);
    failedRuns = updated;
  }

  /** Returns whether the run with the given number is known to have failed. */
  boolean hasFailed(int number) {
    return failedRuns.contains(number);
  }

  /** Returns the number of failed runs. */
  int failures() {
    return failedRuns.size();
  }

  boolean isWaiting() {
    return !done && run == null;
  }

  /** Adds the state of this task to the job progress to be stored. */
  void addTo(List<JobProgress.TaskPosition> allDone, List<JobProgress.FailedRun> allFailed) {
    if (done) {
      allDone.add(new JobProgress.TaskPosition(ref.step(), ref.index()));
    }
    for (int number : failedRuns) {
      allFailed.add(new JobProgress.FailedRun(ref.step(), ref.index(), number));
    }
  }
}
