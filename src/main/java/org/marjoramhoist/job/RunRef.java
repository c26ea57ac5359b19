package org.marjoramhoist.job;

/**
 * Identifies a run of a task.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param task the task
 * @param number the number of the run within the task, from 1; later runs have higher numbers
 */
public record RunRef(TaskRef task, int number) {

  // Explicit implementations: linking the generated record methods adds milliseconds to startup.

  @Override
  public boolean equals(Object other) {
    return other instanceof RunRef that && number == that.number && task.equals(that.task);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + number;
  }
}
