package org.marjoramhoist.job;

/**
 * Names one run of a task.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param task the task
 * @param number counts the runs of the task, from 1; a later run has a higher number
 */
public record RunRef(TaskRef task, int number) {

  // Written out, as the generated methods are linked at their first use, which takes milliseconds
  // of
  // a start.

  @Override
  public boolean equals(Object other) {
    return other instanceof RunRef that && number == that.number && task.equals(that.task);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + number;
  }
}
