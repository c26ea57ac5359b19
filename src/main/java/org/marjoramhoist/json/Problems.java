package org.marjoramhoist.json;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the faults of one document, so that all of them are reported at once.
 *
 * <p>Confined to one thread.
 */
public final class Problems {

  private final String source;
  private final List<Problem> found = new ArrayList<>();

  /**
   * Creates an empty collection.
   *
   * @param source the name of the document, for the messages
   */
  public Problems(String source) {
    this.source = source;
  }

  /** Adds a fault at a line and key. */
  public void add(int line, String key, String message) {
    found.add(new Problem(source, line, key, message));
  }

  /** Returns the faults found so far, in the order of their discovery. */
  public List<Problem> list() {
    return List.copyOf(found);
  }

  /** Tells whether no fault was found. */
  public boolean isEmpty() {
    return found.isEmpty();
  }

  /** Throws all faults as one exception if there are any. */
  public void throwIfAny() throws InvalidDocumentException {
    if (!found.isEmpty()) {
      throw new InvalidDocumentException(found);
    }
  }
}
