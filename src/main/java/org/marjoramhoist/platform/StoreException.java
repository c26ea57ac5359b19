package org.marjoramhoist.platform;

/**
 * Thrown when the store returns no usable reply.
 *
 * <p>Immutable.
 */
public final class StoreException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveTakenEffect;

  /**
   * Creates the exception.
   *
   * @param mayHaveTakenEffect whether a change may have taken effect or may still do so
   * @param message the detail message
   */
  public StoreException(boolean mayHaveTakenEffect, String message) {
    super(message);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Returns whether a change may have taken effect or may still do so. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
