package org.marjoramhoist.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a class of request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form; 1 to {@value Names#MAX_LENGTH} characters of the name alphabet
 */
public record ClassId(@JsonValue String value) implements Comparable<ClassId> {

  /**
   * Creates an identifier.
   *
   * @param value the text form
   * @throws IllegalArgumentException if the text is not a valid name
   */
  @JsonCreator
  public ClassId {
    Names.check("class", value);
  }

  @Override
  public int compareTo(ClassId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
