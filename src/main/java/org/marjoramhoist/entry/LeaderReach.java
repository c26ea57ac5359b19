package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import org.marjoramhoist.dispatch.HeardForecast;
import org.marjoramhoist.dispatch.ReturnForecast;
import org.marjoramhoist.job.JobId;

/**
 * The leaders that this host can send to, and for how long there has been none: that of the
 * partition, and while the failure domain is cut off that of the domain.
 *
 * <p>Confined to the loop's thread.
 */
final class LeaderReach {

  /** When refused callers may come back if the leader tells nothing. */
  static final long RETRY_MILLIS = 2_000;

  /** How long a failure domain that was found to be cut off may take to elect its leader. */
  private static final long DOMAIN_ELECTION_MICROS = 1_500_000;

  /** How long callers are kept waiting for a leader to be found. */
  private static final long LEADERLESS_MICROS = 1_200_000;

  private final List<Runnable> onFound = new ArrayList<>();
  private final List<Runnable> onDomainLeaderChange = new ArrayList<>();
  private LeaderPort leader;
  private LeaderPort domainLeader;
  private LeaderPort released;
  private long domainElectionUntil;
  private long lostAt = Loop.now();
  private boolean hadLeader;
  private final HeardForecast forecast = new HeardForecast();

  /** Runs a task each time that a leader is found, in the order of these calls. */
  void onFound(Runnable task) {
    onFound.add(task);
  }

  /** Runs a task each time that a leader of the failure domain is found or lost. */
  void onDomainLeaderChange(Runnable task) {
    onDomainLeaderChange.add(task);
  }

  /** Takes in the leader of the failure domain; null if there is none any more. */
  void setDomainLeader(LeaderPort port) {
    if (domainLeader == port) {
      return;
    }
    if (port == null) {
      lostAt = Loop.now();
    }
    hadLeader |= port != null;
    domainLeader = port;
    onDomainLeaderChange.forEach(Runnable::run);
  }

  /**
   * Takes in that the leader of the failure domain has handed over: it takes on no job, and tells
   * the ends of those that it has.
   */
  void releaseDomainLeader() {
    released = domainLeader;
    domainLeader = null;
    lostAt = Loop.now();
  }

  /** Takes in that a leader that has handed over tells no more ends. */
  void forgetReleased() {
    if (released != null) {
      released = null;
      onDomainLeaderChange.forEach(Runnable::run);
    }
  }

  /** Tells whether a leader of the failure domain has handed over and still has jobs. */
  boolean isReleased(LeaderPort port) {
    return port == released;
  }

  /** Takes in that the failure domain was found to be cut off and elects a leader. */
  void domainElectionBegins() {
    domainElectionUntil = Loop.now() + DOMAIN_ELECTION_MICROS;
  }

  /** Tells whether jobs wait for the failure domain to elect a leader. */
  boolean awaitsDomainLeader() {
    return leader == null && domainLeader == null && Loop.now() < domainElectionUntil;
  }

  /** Returns the leader of the failure domain while that is cut off; null if there is none. */
  LeaderPort domainLeader() {
    return domainLeader;
  }

  /** Takes in that a leader can be reached. */
  void found(LeaderPort port) {
    leader = port;
    hadLeader = true;
    onFound.forEach(Runnable::run);
  }

  /** Takes in that a leader can't be reached any more; one that was found later stays in charge. */
  void lost(LeaderPort port) {
    if (leader == port) {
      leader = null;
      lostAt = Loop.now();
    }
  }

  /** Takes in what the partition's leader tells about when refused callers may come back. */
  void heard(ReturnForecast told) {
    forecast.heard(told, Loop.now());
  }

  /**
   * Returns when the caller of a job that this host refuses may come back, in milliseconds.
   *
   * @param fallback what it is told without a forecast of late
   */
  long retryAfterMillis(JobId id, long fallback) {
    return forecast.retryAfterMillis(id, fallback, Loop.now());
  }

  /** Returns the partition's leader; null if there is none. */
  LeaderPort leader() {
    return leader;
  }

  /** Tells whether the partition's leader can be reached, or may be soon. */
  boolean mayReachPartition() {
    return leader != null || Loop.now() - lostAt < LEADERLESS_MICROS;
  }

  /** Tells whether some leader can be reached, or may be soon. */
  boolean mayReach() {
    return domainLeader != null || mayReachPartition() || awaitsDomainLeader();
  }

  /** Tells whether a leader is reached, or was until a short time ago. */
  boolean isServed() {
    return hadLeader && mayReach();
  }
}
