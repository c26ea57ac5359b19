package org.marjoramhoist.dispatch;

/**
 * What a leader tells its hosts about when refused callers may come back.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param roomMillis how long it takes until there is room; 0 if that is not known
 * @param spreadMillis over how long the returns are to be spread from then on
 */
public record ReturnForecast(long roomMillis, long spreadMillis) {

  /** Nothing is known. */
  public static final ReturnForecast NONE = new ReturnForecast(0, 0);

  boolean isKnown() {
    return roomMillis > 0;
  }
}
