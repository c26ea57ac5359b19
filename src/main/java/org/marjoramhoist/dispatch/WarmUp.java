package org.marjoramhoist.dispatch;

/**
 * Limits the tasks of a worker that warms up, and is therefore slow, after its start or after its
 * failure domain was drained: one task at first, then twice as many in each quarter of the warm-up
 * time.
 *
 * <p>A worker whose entry has no warm-up time is never limited. Confined to one thread.
 */
final class WarmUp {

  private static final int STAGES = 4;
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * How much later than reported before a warm-up may end without being a new one: an entry is
   * written every 1.5 s and read every 0.5 s, so the age of the reported time varies.
   */
  private static final long END_TOLERANCE_MICROS = 2_000_000;

  private long bornMillis;
  private long reportedMillis;
  private long startedAt;
  private long endsAt;

  /**
   * Updates the warm-up from the worker's entry.
   *
   * @param newBornMillis when the worker started; identifies its incarnation
   * @param remainingMillis the remaining warm-up time
   */
  void update(long newBornMillis, long remainingMillis, long now) {
    boolean sameIncarnation = newBornMillis == bornMillis;
    if (sameIncarnation && remainingMillis == reportedMillis) {
      // The same entry, read again.
      return;
    }
    long end = now + remainingMillis * MICROS_PER_MILLI;
    if (!sameIncarnation || end > endsAt + END_TOLERANCE_MICROS) {
      startedAt = now;
    }
    bornMillis = newBornMillis;
    reportedMillis = remainingMillis;
    endsAt = end;
  }

  /**
   * Restarts the warm-up with the time reported last, as the worker was assigned no work until now.
   */
  void restart(long now) {
    startedAt = now;
    endsAt = now + reportedMillis * MICROS_PER_MILLI;
  }

  /** Returns how many tasks may run at a time. */
  int maxTasks(long now) {
    if (now >= endsAt) {
      return Integer.MAX_VALUE;
    }
    long stage = STAGES * (now - startedAt) / (endsAt - startedAt);
    return 1 << stage;
  }
}
