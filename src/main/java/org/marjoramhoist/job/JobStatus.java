package org.marjoramhoist.job;

/** The status of a durable job, as reported to its caller. */
public enum JobStatus {
  /** No task has been started yet. */
  PENDING,
  /** Tasks have been started. */
  RUNNING,
  /** All tasks completed. */
  SUCCEEDED,
  /** A task used up the attempts of its request class. */
  FAILED,
  /** The job was cancelled. */
  CANCELLED;

  /** Returns whether the status of the job can no longer change. */
  public boolean isTerminal() {
    return this != PENDING && this != RUNNING;
  }
}
