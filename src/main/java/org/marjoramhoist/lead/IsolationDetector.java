package org.marjoramhoist.lead;

import java.util.function.LongPredicate;

/**
 * Finds out that a host reaches neither most other hosts nor the store: its failure domain may be
 * cut off.
 *
 * <p>One round of questions without answers is not enough, as it takes the store longer than that
 * to be found silent. Confined to one thread.
 */
public final class IsolationDetector {

  private final LongPredicate storeAnsweredSince;

  /** Since when neither most hosts nor the store answered; 0 if most hosts did. */
  private long aloneSince;

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
  public boolean hostsAsked(long now, int asked, int reached, boolean leaderHeard) {
    boolean most = 2 * (reached + 1) > asked + 1;
    if (most || leaderHeard) {
      aloneSince = 0;
      return false;
    }
    if (aloneSince == 0 || storeAnsweredSince.test(aloneSince)) {
      aloneSince = now;
      return false;
    }
    return true;
  }

  /** Takes in that the leader was heard. */
  public void leaderHeard() {
    aloneSince = 0;
  }
}
