package org.marjoramhoist.job;

/** How a job that was handed in ended. */
public enum JobOutcome {
  /** All tasks are done. */
  SUCCEEDED,
  /** A task failed as often as its class allows, or no worker can ever run it. */
  FAILED,
  /** The job was cancelled. */
  CANCELLED,
  /** The job was turned away; no task of it was started. */
  REFUSED,
  /** The job was given up; some of its tasks may have run. */
  ABANDONED
}
