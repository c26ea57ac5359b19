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
  private static final long SLACK_MICROS = 2_000_000;

  private long born;
  private long toldMillis;
  private long beganAt;
  private long endsAt;

  /**
   * Takes in what the worker's entry says.
   *
   * @param bornMillis the start of the worker, which tells its lives apart
   * @param leftMillis how much longer it runs slowly
   */
  void told(long bornMillis, long leftMillis, long now) {
    boolean sameLife = bornMillis == born;
    if (sameLife && leftMillis == toldMillis) {
      // The same entry, read again.
      return;
    }
    long end = now + leftMillis * MICROS_PER_MILLI;
    if (!sameLife || end > endsAt + SLACK_MICROS) {
      beganAt = now;
    }
    born = bornMillis;
    toldMillis = leftMillis;
    endsAt = end;
  }

  /** Begins anew with the time told last, as the worker got no work until now. */
  void restart(long now) {
    beganAt = now;
    endsAt = now + toldMillis * MICROS_PER_MILLI;
  }

  /** Returns how many tasks may be at work at a time. */
  int mostTasks(long now) {
    if (now >= endsAt) {
      return Integer.MAX_VALUE;
    }
    long stage = STAGES * (now - beganAt) / (endsAt - beganAt);
    return 1 << stage;
  }
}
