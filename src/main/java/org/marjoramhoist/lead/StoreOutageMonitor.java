package org.marjoramhoist.lead;

/**
 * Decides whether a leader that the store does not answer hands over to a host that the store
 * answers.
 *
 * <p>When an outage ends, each host learns it with its own next call, and followers may learn it
 * before the leader. The leader therefore calls the store at once when a follower reports that it
 * is answered, and hands over only if its own calls go on failing. Confined to one thread.
 */
public final class StoreOutageMonitor {

  /** How long the store may leave the leader unanswered before the leader hands over. */
  private static final long MAX_OUTAGE_MICROS = 1_500_000;

  /** How long the leader's own call may take to show whether the outage is over for it too. */
  private static final long PROBE_MICROS = 600_000;

  /** What the leader does now. */
  public enum Decision {
    NONE,
    /** Call the store to learn whether it answers this host again. */
    PROBE,
    HAND_OVER
  }

  private boolean othersServed;
  private long othersServedSince;

  /**
   * Decides what the leader does.
   *
   * @param outageMicros how long the store has not answered this host; 0 if it does
   * @param othersServedNow whether a follower that could lead is answered by the store
   */
  public Decision step(long now, long outageMicros, boolean othersServedNow) {
    if (outageMicros == 0 || !othersServedNow) {
      othersServed = false;
      return Decision.NONE;
    }
    if (!othersServed) {
      othersServed = true;
      othersServedSince = now;
      return Decision.PROBE;
    }
    boolean probeFailed = now - othersServedSince >= PROBE_MICROS;
    return probeFailed && outageMicros > MAX_OUTAGE_MICROS ? Decision.HAND_OVER : Decision.NONE;
  }
}
