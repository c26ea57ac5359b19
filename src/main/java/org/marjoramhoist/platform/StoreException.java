package org.marjoramhoist.platform;

import java.util.concurrent.CompletionException;

/**
 * Thrown when the store returns no usable reply.
 *
 * <p>Immutable.
 */
public final class StoreException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveTakenEffect;
  private final boolean refusal;

  /**
   * Creates the exception.
   *
   * @param mayHaveTakenEffect whether a change may have taken effect or may still do so
   * @param message the detail message
   */
  public StoreException(boolean mayHaveTakenEffect, String message) {
    this(mayHaveTakenEffect, false, message);
  }

  private StoreException(boolean mayHaveTakenEffect, boolean refusal, String message) {
    super(message);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
    this.refusal = refusal;
  }

  /** Returns the exception for a call that the store refuses for what the call contains. */
  public static StoreException refusal(String message) {
    return new StoreException(false, true, message);
  }

  /** Returns whether a change may have taken effect or may still do so. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }

  /**
   * Returns whether the store is at work and refuses the call for what it contains; it would do so
   * again.
   */
  public boolean isRefusal() {
    return refusal;
  }

  /** Returns whether a call failed with such a refusal. */
  public static boolean isRefusal(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    return cause instanceof StoreException e && e.isRefusal();
  }
}
