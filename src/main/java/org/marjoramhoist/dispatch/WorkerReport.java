package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.job.RunRef;

/**
 * The active runs and the unacknowledged completions of a worker.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param clockMillis the worker's steady clock when it answered
 * @param bornMillis when the worker started; 0 if it is unknown
 * @param activeRuns the runs that are running
 * @param completions the completions that are not acknowledged, oldest first
 * @param hasAllCompletions whether {@code completions} is complete; otherwise later ones are
 *     reported once these are acknowledged, and a run in neither list may have ended
 */
public record WorkerReport(
    long clockMillis,
    long bornMillis,
    List<ActiveRun> activeRuns,
    List<Completion> completions,
    boolean hasAllCompletions) {

  /** Creates a report with copies of the lists. */
  public WorkerReport {
    activeRuns = List.copyOf(activeRuns);
    completions = List.copyOf(completions);
  }

  /**
   * A run that is running.
   *
   * @param run the run
   * @param progressPercent the share of its work that is done
   */
  public record ActiveRun(RunRef run, int progressPercent) {}

  /**
   * The completion of a run.
   *
   * @param sequence the sequence number in this incarnation of the worker, from 1
   * @param run the run
   * @param outcome how it ended
   */
  public record Completion(long sequence, RunRef run, RunOutcome outcome) {}

  /** How a run ended. */
  public enum RunOutcome {
    /** It succeeded. */
    DONE,
    /** It failed because of the task or of the worker. */
    FAILED,
    /** It was stopped by a stop order. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** It ended for a reason that is not its fault. */
    BROKEN
  }
}
