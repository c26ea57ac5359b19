package org.marjoramhoist.job;

import java.util.List;

/**
 * A step of a job: a number of tasks with the same requirements.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param count the number of tasks
 * @param need the resources that each task requires
 * @param estimateMillis the caller's rough estimate of a task's run time, in milliseconds
 * @param after the numbers, from 0, of earlier steps that must complete before this one starts
 * @param requiredLabel a label that a worker must have to run the tasks; empty for none
 * @param preferredRack the rack that holds the tasks' data; empty for none
 * @param maxPerWorker the maximum number of tasks of the step that run on a worker at a time; 0 for
 *     no limit
 */
public record StepSpec(
    int count,
    Resources need,
    long estimateMillis,
    List<Integer> after,
    String requiredLabel,
    String preferredRack,
    int maxPerWorker) {

  /** Creates a step; the list is copied. */
  public StepSpec {
    after = List.copyOf(after);
  }
}
