package org.marjoramhoist.dispatch;

/**
 * A leader's forecast of when callers refused by its hosts may come back.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param roomMillis how long it takes until there is room; 0 if that is not known
 * @param spreadMillis over how long the returns are to be spread from then on
 */
public record RetryForecast(long roomMillis, long spreadMillis) {

  /** Nothing is known. */
  public static final RetryForecast NONE = new RetryForecast(0, 0);

  boolean isKnown() {
    return roomMillis > 0;
  }
}
