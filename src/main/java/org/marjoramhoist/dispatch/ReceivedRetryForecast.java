package org.marjoramhoist.dispatch;

import org.marjoramhoist.job.JobId;

/**
 * The forecast that a host last heard of its leader, for the jobs that it refuses itself.
 *
 * <p>Confined to one thread.
 */
public final class ReceivedRetryForecast {

  /** How long a forecast counts: the backlog of a lost leader says little about the next one. */
  private static final long VALIDITY_MICROS = 2_000_000;

  private static final long MICROS_PER_MILLI = 1_000;

  private RetryForecast forecast = RetryForecast.NONE;
  private long receivedAt;

  /** Takes in a forecast. */
  public void update(RetryForecast next, long now) {
    forecast = next;
    receivedAt = now;
  }

  /**
   * Returns when the caller of a refused job may come back, in milliseconds.
   *
   * @param fallback what it is told if there is no forecast that is still valid
   */
  public long retryAfterMillis(JobId id, long fallback, long now) {
    long age = now - receivedAt;
    if (!forecast.isKnown() || age >= VALIDITY_MICROS) {
      return fallback;
    }
    long room = forecast.roomMillis() - age / MICROS_PER_MILLI;
    long spread = Math.max(1, forecast.spreadMillis());
    return Math.max(RetrySchedule.MIN_RETRY_MILLIS, room) + Math.floorMod(id.hashCode(), spread);
  }
}
