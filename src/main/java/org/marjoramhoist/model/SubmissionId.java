package org.marjoramhoist.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one submission of a job; a resubmission carries the same identifier.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form; 1 to {@value Names#MAX_LENGTH} characters of the name alphabet
 */
public record SubmissionId(@JsonValue String value) implements Comparable<SubmissionId> {

  /**
   * Creates an identifier.
   *
   * @param value the text form
   * @throws IllegalArgumentException if the text is not a valid name
   */
  @JsonCreator
  public SubmissionId {
    Names.check("submission id", value);
  }

  @Override
  public int compareTo(SubmissionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
