package org.marjoramhoist.dispatch;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/**
 * The stored progress of a durable job.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status its status; {@link JobStatus#RUNNING} while it is open
 * @param done the completed tasks, if it is open
 * @param failed the failed runs, if it is open
 * @param endedMillis when it ended, in milliseconds since 1970; 0 while it is open
 * @param lost the runs that were lost with a worker that probably crashed, if it is open; null in a
 *     text of an earlier version
 */
public record JobProgress(
    JobStatus status,
    List<TaskPosition> done,
    List<FailedRun> failed,
    long endedMillis,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) List<LostRun> lost) {

  /** Creates a value with copies of the lists. */
  public JobProgress {
    done = List.copyOf(done);
    failed = List.copyOf(failed);
    lost = lost == null ? List.of() : List.copyOf(lost);
  }

  /** Creates the progress of a job that has lost no worker. */
  public JobProgress(
      JobStatus status, List<TaskPosition> done, List<FailedRun> failed, long endedMillis) {
    this(status, done, failed, endedMillis, List.of());
  }

  /** Tells whether it includes the outcome of a run, so that the completion may be acknowledged. */
  boolean covers(RunRef run, RunOutcome outcome) {
    TaskRef task = run.task();
    return done.contains(new TaskPosition(task.step(), task.index()))
        || outcome == RunOutcome.FAILED
            && failed.contains(new FailedRun(task.step(), task.index(), run.number()));
  }

  /** The step of a task and its index in the step. */
  public record TaskPosition(int step, int index) {}

  /** A failed run: the step and the index of its task, and the run number. */
  public record FailedRun(int step, int index, int run) {}

  /** A run that was lost with its worker: the step and the index of its task, and the loss. */
  public record LostRun(int step, int index, WorkerLoss loss) {}
}
