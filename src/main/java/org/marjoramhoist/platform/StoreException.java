package org.marjoramhoist.platform;

/**
 * Tells that the store gave no usable reply.
 *
 * <p>Immutable.
 */
public final class StoreException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveTakenEffect;

  /**
   * Creates the failure.
   *
   * @param mayHaveTakenEffect whether a change may have taken effect, or still will
   * @param message what went wrong
   */
  public StoreException(boolean mayHaveTakenEffect, String message) {
    super(message);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Tells whether a change may have taken effect, or still will. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
