package org.marjoramhoist.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a task within its job.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form; 1 to {@value Names#MAX_LENGTH} characters of the name alphabet
 */
public record TaskId(@JsonValue String value) implements Comparable<TaskId> {

  /**
   * Creates an identifier.
   *
   * @param value the text form
   * @throws IllegalArgumentException if the text is not a valid name
   */
  @JsonCreator
  public TaskId {
    Names.check("task id", value);
  }

  @Override
  public int compareTo(TaskId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
