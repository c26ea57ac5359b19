package org.marjoramhoist.job;

/** How far a durable job is, as its caller may ask. */
public enum JobStatus {
  /** No task of it was started yet. */
  PENDING,
  /** Tasks of it were started. */
  RUNNING,
  /** All tasks are done. */
  SUCCEEDED,
  /** A task failed as often as its class allows. */
  FAILED,
  /** The job was cancelled. */
  CANCELLED;

  /** Tells whether a job with this status stays so. */
  public boolean isTerminal() {
    return this != PENDING && this != RUNNING;
  }
}
