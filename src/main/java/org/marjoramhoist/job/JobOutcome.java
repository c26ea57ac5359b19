package org.marjoramhoist.job;

/** The outcome of a submitted job. */
public enum JobOutcome {
  /** All tasks completed. */
  SUCCEEDED,
  /** A task used up the attempts of its request class, or no worker can ever run it. */
  FAILED,
  /** The job was cancelled. */
  CANCELLED,
  /** The job was refused before any of its tasks was started. */
  REFUSED,
  /** The job was abandoned; some of its tasks may have run. */
  ABANDONED
}
