package org.marjoramhoist.job;

import java.util.List;

/**
 * A step of a job: tasks that are alike.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param count how many tasks
 * @param need what each task needs
 * @param estimateMillis the caller's rough estimate of a task's run time, in milliseconds
 * @param after numbers of earlier steps that must be complete first, from 0
 * @param requiredLabel a label that the worker must have; empty for none
 * @param preferredRack the rack that holds the data; empty for none
 * @param maxPerWorker the most tasks of the step on one worker at a time; 0 for no limit
 */
public record StepSpec(
    int count,
    Resources need,
    long estimateMillis,
    List<Integer> after,
    String requiredLabel,
    String preferredRack,
    int maxPerWorker) {

  /** Creates a step with a copy of the list. */
  public StepSpec {
    after = List.copyOf(after);
  }
}
