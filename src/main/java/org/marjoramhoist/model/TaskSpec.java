package org.marjoramhoist.model;

import static java.util.Objects.requireNonNull;

/**
 * One task of a job.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the task's identifier, unique within its job
 * @param payload what the worker is given, or a reference to it; may be empty
 * @param declaredMillis the run time that the caller expects, in milliseconds; 0 if not declared
 * @param idempotent whether the task may be started again once its first start is surely over
 */
public record TaskSpec(TaskId id, String payload, long declaredMillis, boolean idempotent) {

  /**
   * Creates a task.
   *
   * @throws NullPointerException if the identifier or the payload is null
   * @throws IllegalArgumentException if the declared run time is negative
   */
  public TaskSpec {
    requireNonNull(id, "id");
    requireNonNull(payload, "payload");
    if (declaredMillis < 0) {
      throw new IllegalArgumentException("declaredMillis must not be negative");
    }
  }
}
