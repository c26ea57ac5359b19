package org.marjoramhoist.entry;

/**
 * Repeats calls to the store that failed, after a pause that doubles until one is answered.
 *
 * <p>Confined to the loop's thread.
 */
final class StoreRetry {

  private final EventLoop loop;
  private final StoreHealth health;
  private final long firstPauseMillis;
  private final long longestPauseMillis;
  private long pauseMillis;

  /**
   * Creates the pauses of one kind of call.
   *
   * @param firstPauseMillis the pause after the first failure, in milliseconds
   * @param longestPauseMillis the longest pause
   */
  StoreRetry(EventLoop loop, StoreHealth health, long firstPauseMillis, long longestPauseMillis) {
    this.loop = loop;
    this.health = health;
    this.firstPauseMillis = firstPauseMillis;
    this.longestPauseMillis = longestPauseMillis;
    this.pauseMillis = firstPauseMillis;
  }

  /** Takes in that the store answered. */
  void reached() {
    pauseMillis = firstPauseMillis;
    health.recordSuccess();
  }

  /** Takes in a failure, and makes another attempt after the pause. */
  void failed(Throwable error, Runnable again) {
    health.recordFailure(error);
    loop.scheduleWithJitter(pauseMillis, again);
    pauseMillis = Math.min(longestPauseMillis, 2 * pauseMillis);
  }
}
