package org.marjoramhoist.dispatch;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/**
 * The stored progress of a durable job.
 *
 * <p>Invariant: what tasks of a step have in common is held and written once for all of them, in
 * ranges, so that the size follows from how often neighbours differ and hardly from the number of
 * tasks. A value for one run of one task has the form of earlier versions, which can read it.
 * Immutable and safe for use by several threads.
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
    List<DoneTasks> done,
    List<FailedRuns> failed,
    long endedMillis,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) List<LostRuns> lost) {

  /** Creates a value with the lists merged. */
  public JobProgress {
    done = ProgressGroups.ofDone(done);
    failed = ProgressGroups.ofFailed(failed);
    lost = lost == null ? List.of() : ProgressGroups.ofLost(lost);
  }

  /** Creates the progress of a job that has lost no worker. */
  public JobProgress(
      JobStatus status, List<DoneTasks> done, List<FailedRuns> failed, long endedMillis) {
    this(status, done, failed, endedMillis, List.of());
  }

  /** Tells whether it includes the outcome of a run, so that the completion may be acknowledged. */
  boolean covers(RunRef run, RunOutcome outcome) {
    TaskRef task = run.task();
    return done.stream()
            .anyMatch(each -> each.step() == task.step() && each.tasks().contains(task.index()))
        || outcome == RunOutcome.FAILED
            && failed.stream()
                .anyMatch(
                    each ->
                        each.step() == task.step()
                            && each.tasks().contains(task.index())
                            && each.runs().contains(run.number()));
  }

  /** Completed tasks: a step and the indexes of tasks in it. */
  public record DoneTasks(int step, @JsonProperty("index") NumberSet tasks) {

    /** Creates the value for one task. */
    public DoneTasks(int step, int index) {
      this(step, NumberSet.of(index));
    }
  }

  /** Failed runs: a step, the indexes of tasks in it, and the numbers of runs of each of these. */
  public record FailedRuns(
      int step, @JsonProperty("index") NumberSet tasks, @JsonProperty("run") NumberSet runs) {

    /** Creates the value for one run. */
    public FailedRuns(int step, int index, int run) {
      this(step, NumberSet.of(index), NumberSet.of(run));
    }
  }

  /**
   * Runs that were lost with their worker: a step, the indexes of tasks in it, and the loss that
   * each of these has suffered.
   */
  public record LostRuns(int step, @JsonProperty("index") NumberSet tasks, WorkerLoss loss) {

    /** Creates the value for one task. */
    public LostRuns(int step, int index, WorkerLoss loss) {
      this(step, NumberSet.of(index), loss);
    }
  }
}
