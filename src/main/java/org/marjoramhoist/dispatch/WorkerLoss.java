package org.marjoramhoist.dispatch;

/**
 * The loss of a worker while it ran a task.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param run the number of the run
 * @param worker the id of the worker
 * @param exclusive whether the worker ran nothing else
 * @param latest whether the run was among the last that the worker had started, so that it is the
 *     likeliest cause
 * @param evidence what is known of the cause
 */
public record WorkerLoss(
    int run, String worker, boolean exclusive, boolean latest, Evidence evidence) {

  /** What is known of the cause of a loss. */
  public enum Evidence {
    /** Nothing was heard of the worker; a cut looks the same. */
    SILENT,
    /** Connections to it were refused, as after the end of its process or behind a cut. */
    REFUSED,
    /** Its process ended: another one reports for it or answers at its address. */
    CRASHED
  }

  /** Returns the same loss with other evidence. */
  WorkerLoss with(Evidence newEvidence) {
    return new WorkerLoss(run, worker, exclusive, latest, newEvidence);
  }
}
