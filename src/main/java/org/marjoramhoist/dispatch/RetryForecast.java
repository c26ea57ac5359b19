package org.marjoramhoist.dispatch;

/**
 * A leader's forecast of when callers refused by its entry hosts may retry.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param roomMillis the time until free capacity is expected; 0 if unknown
 * @param spreadMillis the interval over which retries are spread from then on
 */
public record RetryForecast(long roomMillis, long spreadMillis) {

  /** No forecast is available. */
  public static final RetryForecast NONE = new RetryForecast(0, 0);

  boolean isKnown() {
    return roomMillis > 0;
  }
}
