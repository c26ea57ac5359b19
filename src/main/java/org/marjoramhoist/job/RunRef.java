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

  // Written out: linking the generated methods takes milliseconds of a process's start.

  @Override
  public boolean equals(Object other) {
    return other instanceof RunRef that && number == that.number && task.equals(that.task);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + number;
  }
}
