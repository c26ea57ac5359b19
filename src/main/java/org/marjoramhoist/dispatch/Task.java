package org.marjoramhoist.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.TaskRef;

/**
 * One task of a job.
 *
 * <p>Invariant: at most one run of it may be at work, {@link #run}. Confined to one thread.
 */
final class Task {

  final Job job;
  final TaskRef ref;

  /** The run that may be at work; null if there is none. */
  Run run;

  boolean done;
  int lastRunNumber;

  /** The numbers of its runs that failed; most tasks have none. */
  private Set<Integer> failedRuns = Set.of();

  /** The worker on which it failed last; null if it did not fail. */
  String lastFailedWorker;

  Task(Job job, int step, int index, int lastRun) {
    this.job = job;
    this.ref = new TaskRef(job.id(), step, index);
    this.lastRunNumber = lastRun;
  }

  StepSpec spec() {
    return job.description().steps().get(ref.step());
  }

  /** Notes that a run of it failed. */
  void noteFailure(int number) {
    Set<Integer> all = new HashSet<>(failedRuns);
    all.add(number);
    failedRuns = all;
  }

  /** Tells whether it is known that a run of it failed. */
  boolean hasFailed(int number) {
    return failedRuns.contains(number);
  }

  /** Returns how many of its runs failed. */
  int failures() {
    return failedRuns.size();
  }

  boolean isWaiting() {
    return !done && run == null;
  }

  /** Adds what is known of it to what is stored of its job. */
  void addTo(List<JobProgress.TaskPosition> allDone, List<JobProgress.FailedRun> allFailed) {
    if (done) {
      allDone.add(new JobProgress.TaskPosition(ref.step(), ref.index()));
    }
    for (int number : failedRuns) {
      allFailed.add(new JobProgress.FailedRun(ref.step(), ref.index(), number));
    }
  }
}
