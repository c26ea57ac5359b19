package org.marjoramhoist.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an entry host; a restarted host keeps its name and changes its incarnation.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form; 1 to {@value Names#MAX_LENGTH} characters of the name alphabet
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {

  /**
   * Creates an identifier.
   *
   * @param value the text form
   * @throws IllegalArgumentException if the text is not a valid name
   */
  @JsonCreator
  public HostId {
    Names.check("host", value);
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
