package org.marjoramhoist.lead;

import java.util.function.LongPredicate;

/**
 * Detects that a host can reach neither most other hosts nor the store, so that its failure domain
 * may be isolated.
 *
 * <p>One poll of the other hosts without a majority is not sufficient, because it takes longer to
 * detect that the store does not answer. One poll is sufficient if the store was queried at the
 * same time and no host of another failure domain answers. Confined to one thread.
 */
public final class IsolationDetector {

  /** The interval between two heartbeats of the leader. */
  private static final long HEARTBEAT_INTERVAL_MICROS = 100_000;

  private final LongPredicate storeAnsweredSince;

  /**
   * Since when neither most hosts nor the store answered; 0 if most hosts did, or a leader is
   * alive.
   */
  private long isolatedSince;

  /**
   * Creates a detector.
   *
   * @param storeAnsweredSince returns whether the store has answered since a given time
   */
  public IsolationDetector(LongPredicate storeAnsweredSince) {
    this.storeAnsweredSince = storeAnsweredSince;
  }

  /**
   * Handles the result of polling the other hosts on whether they are in contact with the leader.
   *
   * @param now the time, in microseconds on the host's monotonic clock
   * @param polled the number of hosts that were polled
   * @param replied the number of hosts that replied; a refused connection is no reply, because a
   *     network fault may refuse it too
   * @param leaderAlive whether any of them is in contact with a leader
   * @return whether this host is isolated
   */
  public boolean hostsPolled(long now, int polled, int replied, boolean leaderAlive) {
    boolean majority = 2 * (replied + 1) > polled + 1;
    if (majority || leaderAlive) {
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
   * Handles the result of polling hosts of other failure domains and the store at the same time.
   *
   * @param lastHeartbeatAt when the leader's last heartbeat was received
   * @param polledAt when the poll started
   * @param replied the number of hosts of other failure domains that replied
   * @param leaderAlive whether any host is in contact with a leader
   * @return whether the failure domain is isolated
   */
  public boolean domainsPolled(
      long lastHeartbeatAt, long polledAt, int replied, boolean leaderAlive) {
    // An answer the store sent before the isolation may arrive after the last heartbeat.
    long silentSince = Math.min(lastHeartbeatAt + HEARTBEAT_INTERVAL_MICROS, polledAt);
    return replied == 0 && !leaderAlive && !storeAnsweredSince.test(silentSince);
  }

  /** Handles a heartbeat of the leader. */
  public void heartbeatReceived() {
    isolatedSince = 0;
  }
}
