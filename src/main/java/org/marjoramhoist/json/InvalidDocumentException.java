package org.marjoramhoist.json;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Tells that a document was refused as a whole, with each of its faults.
 *
 * <p>Immutable.
 */
public final class InvalidDocumentException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<Problem> problems;

  /**
   * Creates the exception.
   *
   * @param problems the faults; at least one
   */
  public InvalidDocumentException(List<Problem> problems) {
    super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Returns the faults, in the order of their discovery. */
  public List<Problem> problems() {
    return problems;
  }
}
