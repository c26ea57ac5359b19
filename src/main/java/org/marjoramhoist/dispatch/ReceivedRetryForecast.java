package org.marjoramhoist.dispatch;

import org.marjoramhoist.job.JobId;

/**
 * The latest retry forecast that a host received from its leader, used for jobs that the host
 * refuses itself.
 *
 * <p>Confined to one thread.
 */
public final class ReceivedRetryForecast {

  /**
   * How long a forecast is valid. After a leader change, the backlog of the previous leader is a
   * poor estimate of the new leader's backlog.
   */
  private static final long VALIDITY_MICROS = 2_000_000;

  private static final long MICROS_PER_MILLI = 1_000;

  private RetryForecast forecast = RetryForecast.NONE;
  private long receivedAt;

  /** Records a forecast received from the leader. */
  public void update(RetryForecast received, long now) {
    forecast = received;
    receivedAt = now;
  }

  /**
   * Returns the delay after which the caller of a refused job may retry, in milliseconds.
   *
   * @param fallback the delay to return if there is no valid forecast
   */
  public long retryAfterMillis(JobId id, long fallback, long now) {
    long ageMicros = now - receivedAt;
    if (!forecast.isKnown() || ageMicros >= VALIDITY_MICROS) {
      return fallback;
    }
    long waitMillis = forecast.roomMillis() - ageMicros / MICROS_PER_MILLI;
    long spreadMillis = Math.max(1, forecast.spreadMillis());
    return Math.max(RetrySchedule.MIN_RETRY_MILLIS, waitMillis)
        + Math.floorMod(id.hashCode(), spreadMillis);
  }
}
