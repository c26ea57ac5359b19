package org.marjoramhoist.entry;

/**
 * Repeats calls to the store that failed, after a pause that doubles until one is answered.
 *
 * <p>Confined to the loop's thread.
 */
final class StoreRetry {

  private final EventLoop loop;
  private final StoreHealth health;
  private final long initialDelayMillis;
  private final long maxDelayMillis;
  private long delayMillis;

  /**
   * Creates the pauses of one kind of call.
   *
   * @param initialDelayMillis the pause after the first failure, in milliseconds
   * @param maxDelayMillis the longest pause
   */
  StoreRetry(EventLoop loop, StoreHealth health, long initialDelayMillis, long maxDelayMillis) {
    this.loop = loop;
    this.health = health;
    this.initialDelayMillis = initialDelayMillis;
    this.maxDelayMillis = maxDelayMillis;
    this.delayMillis = initialDelayMillis;
  }

  /** Takes in that the store answered. */
  void recordSuccess() {
    delayMillis = initialDelayMillis;
    health.recordSuccess();
  }

  /** Takes in a failure, and makes another attempt after the pause. */
  void retry(Throwable error, Runnable task) {
    health.recordFailure(error);
    loop.scheduleWithJitter(delayMillis, task);
    delayMillis = Math.min(maxDelayMillis, 2 * delayMillis);
  }
}
