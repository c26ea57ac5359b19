package org.marjoramhoist.dispatch;

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
  int failures;
  int lastRun;

  /** The worker on which it failed last; null if it did not fail. */
  String failedOn;

  Task(Job job, int step, int index, int lastRun) {
    this.job = job;
    this.ref = new TaskRef(job.id(), step, index);
    this.lastRun = lastRun;
  }

  StepSpec spec() {
    return job.description().steps().get(ref.step());
  }

  boolean isWaiting() {
    return !done && run == null;
  }
}
