package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.job.RunRef;

/**
 * What a worker runs and what has ended there.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param clockMillis the worker's steady clock as it answered
 * @param bornMillis the worker's start; 0 if it did not say
 * @param activeRuns the runs at work
 * @param completions the ends not yet acknowledged, oldest first
 * @param hasAllCompletions whether that is all of them; otherwise later ones are shown once these
 *     are acknowledged, and a run in neither list may have ended
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
   * A run at work.
   *
   * @param run the run
   * @param progressPercent how much of its work is done
   */
  public record ActiveRun(RunRef run, int progressPercent) {}

  /**
   * The end of a run.
   *
   * @param sequence counts the ends of this life of the worker, from 1
   * @param run the run
   * @param outcome how it ended
   */
  public record Completion(long sequence, RunRef run, RunOutcome outcome) {}

  /** How a run ended. */
  public enum RunOutcome {
    /** The work is done. */
    DONE,
    /** It failed, through its own fault or the worker's. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** It ended for another reason that is not its own. */
    BROKEN
  }
}
