package org.marjoramhoist.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one attempt to run a task on a worker.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form; 1 to {@value Names#MAX_LENGTH} characters of the name alphabet
 */
public record AttemptId(@JsonValue String value) implements Comparable<AttemptId> {

  /**
   * Creates an identifier.
   *
   * @param value the text form
   * @throws IllegalArgumentException if the text is not a valid name
   */
  @JsonCreator
  public AttemptId {
    Names.check("attempt id", value);
  }

  @Override
  public int compareTo(AttemptId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
