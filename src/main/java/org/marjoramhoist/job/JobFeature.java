package org.marjoramhoist.job;

/** Optional features that a job may request. */
public enum JobFeature {
  /** The job is stored before it is acknowledged, and its status can be queried later. */
  DURABLE(true),
  /** All tasks of a step run concurrently, or none of them runs. */
  GANG(false),
  /** The tasks run until the job is cancelled. */
  LONG_RUNNING(false),
  /** The steps run repeatedly on a schedule. */
  OCCURRENCES(false),
  /** The tasks use only capacity that other jobs leave unused. */
  BACKGROUND(false);

  private final boolean supported;

  JobFeature(boolean supported) {
    this.supported = supported;
  }

  /** Returns whether jobs that request this feature can be run. */
  public boolean isSupported() {
    return supported;
  }
}
