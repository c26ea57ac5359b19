package org.marjoramhoist.dispatch;

/** Why a run is over without a result, or never started. */
enum LossCause {
  /** The worker rejected the start order. */
  REJECTED("rejected"),
  /** The start order did not reach the worker. */
  NOT_SENT("not sent"),
  /** The worker could not be reached until the lease had certainly expired. */
  LEASE_EXPIRED("lease expired"),
  /** The worker reported neither the run nor its completion. */
  NOT_THERE("not there"),
  /** The worker stopped the run, as ordered. */
  STOPPED("stopped"),
  /** The worker ended the run when its lease expired. */
  LAPSED("lapsed"),
  /** The worker ended the run for a reason that is not its fault. */
  BROKEN("broken");

  private final String text;

  LossCause(String text) {
    this.text = text;
  }

  static LossCause of(WorkerReport.RunOutcome outcome) {
    return switch (outcome) {
      case STOPPED -> STOPPED;
      case LAPSED -> LAPSED;
      default -> BROKEN;
    };
  }

  /** Returns the cause as it is logged. */
  @Override
  public String toString() {
    return text;
  }
}
