package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.TaskRef;

/**
 * A task of a job.
 *
 * <p>Invariant: no run of the task other than {@link #run} is possibly running. Confined to one
 * thread.
 */
final class Task {

  final Job job;
  final TaskRef ref;

  /** The run that is possibly running; null if there is none. */
  Run run;

  boolean done;

  /** The highest run number assumed to be in use; the next run gets a higher one. */
  int lastRunNumber;

  /** The numbers of the failed runs; empty for most tasks. */
  private NumberSet failedRuns = NumberSet.EMPTY;

  /** The workers that were lost with a run of this task; null if there are none. */
  TaskLosses losses;

  private String avoidedWorker;
  private long avoidedUntil;
  private long pausedUntil;

  Task(Job job, int step, int index, int lastRunNumber) {
    this.job = job;
    this.ref = new TaskRef(job.id(), step, index);
    this.lastRunNumber = lastRunNumber;
  }

  StepSpec spec() {
    return job.description().steps().get(ref.step());
  }

  /** Records a failed run. */
  void recordFailure(int number) {
    recordFailures(NumberSet.of(number));
  }

  /** Records failed runs. */
  void recordFailures(NumberSet numbers) {
    failedRuns = failedRuns.union(numbers);
  }

  /** Avoids a worker, on which a run failed or made no progress, until a time. */
  void avoid(String worker, long until) {
    avoidedWorker = worker;
    avoidedUntil = until;
  }

  /** Avoids all workers until a time. */
  void pauseUntil(long time) {
    pausedUntil = time;
  }

  /** Tells whether it is not to be started on a worker now. */
  boolean avoids(Worker worker, long now) {
    return now < pausedUntil || now < avoidedUntil && worker.id().equals(avoidedWorker);
  }

  /** Tells whether there is a worker that it is not to be started on now. */
  boolean avoidsAnyWorker(long now) {
    return now < avoidedUntil || now < pausedUntil;
  }

  /** Tells whether the run with the given number is known to have failed. */
  boolean hasFailedRun(int number) {
    return failedRuns.contains(number);
  }

  /** Returns the number of failed runs. */
  int failedRunCount() {
    return failedRuns.size();
  }

  /** Tells whether the task is neither done nor possibly running. */
  boolean isWaiting() {
    return !done && run == null;
  }

  /** Returns how this task may be run. */
  TaskLosses.Handling handling(long now) {
    return losses == null ? TaskLosses.Handling.SHARED : losses.handling(now);
  }

  /** Tells whether it is the likeliest cause of the loss of a worker. */
  boolean isLikelyCause() {
    return losses != null && losses.isLikelyCause();
  }

  /** Tells whether a worker has answered since the last worker was lost with this task. */
  boolean isHeardSinceLoss(Worker worker) {
    return losses == null || worker.lastHeardAt() >= losses.lastLossAt();
  }

  /** Adds what must outlive a leader to the job progress to be stored. */
  void addTo(
      List<JobProgress.DoneTasks> doneTasks,
      List<JobProgress.FailedRuns> allFailedRuns,
      List<JobProgress.LostRuns> allLostRuns) {
    NumberSet index = NumberSet.of(ref.index());
    if (done) {
      doneTasks.add(new JobProgress.DoneTasks(ref.step(), index));
    }
    if (!failedRuns.isEmpty()) {
      allFailedRuns.add(new JobProgress.FailedRuns(ref.step(), index, failedRuns));
    }
    if (losses != null && !done) {
      losses.all().stream()
          .filter(loss -> loss.evidence() != WorkerLoss.Evidence.SILENT)
          .map(loss -> new JobProgress.LostRuns(ref.step(), index, loss))
          .forEach(allLostRuns::add);
    }
  }
}
