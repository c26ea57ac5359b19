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
 * @param running the runs at work
 * @param ended the ends not yet acknowledged, oldest first
 * @param endsWhole whether that is all of them; otherwise later ones are shown once these are
 *     acknowledged, and a run in neither list may have ended
 */
public record WorkerReport(
    long clockMillis,
    long bornMillis,
    List<Running> running,
    List<Ended> ended,
    boolean endsWhole) {

  /** Creates a report with copies of the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * A run at work.
   *
   * @param run the run
   * @param percent how much of its work is done
   */
  public record Running(RunRef run, int percent) {}

  /**
   * The end of a run.
   *
   * @param number counts the ends of this life of the worker, from 1
   * @param run the run
   * @param how how it ended
   */
  public record Ended(long number, RunRef run, RunEnd how) {}

  /** How a run ended. */
  public enum RunEnd {
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
