package org.marjoramhoist.entry;

/**
 * Retries failed calls to the store with exponential backoff.
 *
 * <p>Confined to the event loop's thread.
 */
final class StoreRetry {

  private final EventLoop loop;
  private final StoreHealth health;
  private final long initialDelayMillis;
  private final long maxDelayMillis;
  private long delayMillis;

  /**
   * Creates the backoff for one kind of call.
   *
   * @param initialDelayMillis the delay after the first failure, in milliseconds
   * @param maxDelayMillis the upper limit of the delay, in milliseconds
   */
  StoreRetry(EventLoop loop, StoreHealth health, long initialDelayMillis, long maxDelayMillis) {
    this.loop = loop;
    this.health = health;
    this.initialDelayMillis = initialDelayMillis;
    this.maxDelayMillis = maxDelayMillis;
    this.delayMillis = initialDelayMillis;
  }

  /** Resets the delay after a successful call. */
  void recordSuccess() {
    delayMillis = initialDelayMillis;
    health.recordSuccess();
  }

  /** Records a failure and runs the task again after the delay. */
  void retry(Throwable error, Runnable task) {
    health.recordFailure(error);
    loop.scheduleWithJitter(delayMillis, task);
    delayMillis = Math.min(maxDelayMillis, 2 * delayMillis);
  }
}
