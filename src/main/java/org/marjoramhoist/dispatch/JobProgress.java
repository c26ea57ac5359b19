package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/**
 * What is stored of a durable job as it goes on.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status its status; {@link JobStatus#RUNNING} while it is open
 * @param done the tasks that are done, if it is open
 * @param failed the runs that failed, if it is open
 * @param endedMillis when it ended, in milliseconds since 1970; 0 while it is open
 */
public record JobProgress(
    JobStatus status, List<TaskPosition> done, List<FailedRun> failed, long endedMillis) {

  /** Creates a progress with copies of the lists. */
  public JobProgress {
    done = List.copyOf(done);
    failed = List.copyOf(failed);
  }

  /** Tells whether nothing is lost of it if the end of a run is forgotten. */
  boolean covers(RunRef run, RunOutcome how) {
    TaskRef task = run.task();
    return done.contains(new TaskPosition(task.step(), task.index()))
        || how == RunOutcome.FAILED
            && failed.contains(new FailedRun(task.step(), task.index(), run.number()));
  }

  /** A task of the job by its step and its index in the step. */
  public record TaskPosition(int step, int index) {}

  /** A run that failed, by its task's step and index and its own number. */
  public record FailedRun(int step, int index, int run) {}
}
