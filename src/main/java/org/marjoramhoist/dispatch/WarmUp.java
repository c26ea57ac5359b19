package org.marjoramhoist.dispatch;

/**
 * How many tasks a worker may be given at a time while it warms up, which makes it slow for a time
 * after its start or after its failure domain was drained: one at first, then twice as many in each
 * quarter of that time.
 *
 * <p>A worker whose entry names no such time is never limited. Confined to one thread.
 */
final class WarmUp {

  private static final int STAGES = 4;
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * How much later than told before a warm-up may end without being a new one: an entry is written
   * every 1.5 s and read every 0.5 s, so what it tells is old by differing times.
   */
  private static final long END_TOLERANCE_MICROS = 2_000_000;

  private long bornMillis;
  private long reportedMillis;
  private long startedAt;
  private long endsAt;

  /**
   * Takes in what the worker's entry says.
   *
   * @param bornMillis the start of the worker, which tells its lives apart
   * @param leftMillis how much longer it runs slowly
   */
  void update(long bornMillis, long leftMillis, long now) {
    boolean sameLife = bornMillis == bornMillis;
    if (sameLife && leftMillis == reportedMillis) {
      // The same entry, read again.
      return;
    }
    long end = now + leftMillis * MICROS_PER_MILLI;
    if (!sameLife || end > endsAt + END_TOLERANCE_MICROS) {
      startedAt = now;
    }
    bornMillis = bornMillis;
    reportedMillis = leftMillis;
    endsAt = end;
  }

  /** Begins anew with the time told last, as the worker got no work until now. */
  void restart(long now) {
    startedAt = now;
    endsAt = now + reportedMillis * MICROS_PER_MILLI;
  }

  /** Returns how many tasks may be at work at a time. */
  int maxTasks(long now) {
    if (now >= endsAt) {
      return Integer.MAX_VALUE;
    }
    long stage = STAGES * (now - startedAt) / (endsAt - startedAt);
    return 1 << stage;
  }
}
