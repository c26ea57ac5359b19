package org.marjoramhoist.lead;

import java.util.function.LongPredicate;

/**
 * Finds out that a host reaches neither most other hosts nor the store: its failure domain may be
 * cut off.
 *
 * <p>One round of questions to other hosts without answers is not enough, as it takes the store
 * longer than that to be found silent. It is if the store was asked too and no host of another
 * failure domain answers. Confined to one thread.
 */
public final class IsolationDetector {

  /** How much later than the leader's last heartbeat the next one is due. */
  private static final long HEARTBEAT_INTERVAL_MICROS = 100_000;

  private final LongPredicate storeAnsweredSince;

  /** Since when neither most hosts nor the store answered; 0 if most hosts did. */
  private long isolatedSince;

  /**
   * Creates a detector.
   *
   * @param storeAnsweredSince tells whether the store has answered since a time
   */
  public IsolationDetector(LongPredicate storeAnsweredSince) {
    this.storeAnsweredSince = storeAnsweredSince;
  }

  /**
   * Takes in what came of asking the other hosts whether they hear the leader.
   *
   * @param now the time, in microseconds on the host's steady clock
   * @param asked how many were asked
   * @param reached how many answered; a refused connection is no answer, as a cut may refuse it
   * @param leaderHeard whether any of them hears a leader
   * @return whether this host is isolated
   */
  public boolean hostsPolled(long now, int asked, int reached, boolean leaderHeard) {
    boolean most = 2 * (reached + 1) > asked + 1;
    if (most || leaderHeard) {
      isolatedSince = 0;
      return false;
    }
    if (isolatedSince == 0 || storeAnsweredSince.test(isolatedSince)) {
      isolatedSince = now;
      return false;
    }
    return true;
  }

  /**
   * Takes in what came of asking hosts of other failure domains and the store at the same time.
   *
   * @param leaderHeardAt when the leader was last heard
   * @param askedAt when they were asked
   * @param reached how many hosts of other failure domains answered
   * @param anyHearsLeader whether any host hears a leader
   * @return whether the failure domain is cut off
   */
  public boolean domainsPolled(
      long leaderHeardAt, long askedAt, int reached, boolean anyHearsLeader) {
    // What the store answered before the cut may have come after the last heartbeat.
    long silentSince = Math.min(leaderHeardAt + HEARTBEAT_INTERVAL_MICROS, askedAt);
    return reached == 0 && !anyHearsLeader && !storeAnsweredSince.test(silentSince);
  }

  /** Takes in that the leader was heard. */
  public void heartbeatReceived() {
    isolatedSince = 0;
  }
}
