package org.marjoramhoist.job;

/**
 * Identifies a task of a job.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param job the job
 * @param step the number of the step, from 0
 * @param index the number of the task within the step, from 0
 */
public record TaskRef(JobId job, int step, int index) {

  // Explicit implementations: linking the generated record methods adds milliseconds to startup.

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskRef that
        && index == that.index
        && step == that.step
        && job.equals(that.job);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * job.hashCode() + step) + index;
  }
}
