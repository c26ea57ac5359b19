package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import org.marjoramhoist.dispatch.ReceivedRetryForecast;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.job.JobId;

/**
 * The leaders that this host can send to, and for how long there has been none: that of the
 * partition, and while the failure domain is cut off that of the domain.
 *
 * <p>Confined to the loop's thread.
 */
final class LeaderTracker {

  /** When refused callers may come back if the leader tells nothing. */
  static final long DEFAULT_RETRY_MILLIS = 2_000;

  /** How long a failure domain that was found to be cut off may take to elect its leader. */
  private static final long DOMAIN_ELECTION_TIMEOUT_MICROS = 1_500_000;

  /** How long callers are kept waiting for a leader to be found. */
  private static final long LEADER_LOSS_GRACE_MICROS = 1_200_000;

  private final List<Runnable> leaderFoundTasks = new ArrayList<>();
  private final List<Runnable> domainLeaderChangeTasks = new ArrayList<>();
  private LeaderChannel partitionLeader;
  private LeaderChannel domainLeader;
  private LeaderChannel formerDomainLeader;
  private long domainElectionUntil;
  private long leaderLostAt = EventLoop.now();
  private boolean hadLeader;
  private final ReceivedRetryForecast forecast = new ReceivedRetryForecast();

  /** Runs a task each time that a leader is found, in the order of these calls. */
  void onLeaderFound(Runnable task) {
    leaderFoundTasks.add(task);
  }

  /** Runs a task each time that a leader of the failure domain is found or lost. */
  void onDomainLeaderChange(Runnable task) {
    domainLeaderChangeTasks.add(task);
  }

  /** Takes in the leader of the failure domain; null if there is none any more. */
  void setDomainLeader(LeaderChannel port) {
    if (domainLeader == port) {
      return;
    }
    if (port == null) {
      leaderLostAt = EventLoop.now();
    }
    hadLeader |= port != null;
    domainLeader = port;
    domainLeaderChangeTasks.forEach(Runnable::run);
  }

  /**
   * Takes in that the leader of the failure domain has handed over: it takes on no job, and tells
   * the ends of those that it has.
   */
  void domainLeaderHandedOver() {
    formerDomainLeader = domainLeader;
    domainLeader = null;
    leaderLostAt = EventLoop.now();
  }

  /** Takes in that a leader that has handed over tells no more ends. */
  void removeFormerDomainLeader() {
    if (formerDomainLeader != null) {
      formerDomainLeader = null;
      domainLeaderChangeTasks.forEach(Runnable::run);
    }
  }

  /** Tells whether a leader of the failure domain has handed over and still has jobs. */
  boolean isFormerDomainLeader(LeaderChannel port) {
    return port == formerDomainLeader;
  }

  /** Takes in that the failure domain was found to be cut off and elects a leader. */
  void domainElectionStarted() {
    domainElectionUntil = EventLoop.now() + DOMAIN_ELECTION_TIMEOUT_MICROS;
  }

  /** Tells whether jobs wait for the failure domain to elect a leader. */
  boolean isAwaitingDomainLeader() {
    return partitionLeader == null && domainLeader == null && EventLoop.now() < domainElectionUntil;
  }

  /** Returns the leader of the failure domain while that is cut off; null if there is none. */
  LeaderChannel domainLeader() {
    return domainLeader;
  }

  /** Takes in that a leader can be reached. */
  void leaderFound(LeaderChannel port) {
    partitionLeader = port;
    hadLeader = true;
    leaderFoundTasks.forEach(Runnable::run);
  }

  /** Takes in that a leader can't be reached any more; one that was found later stays in charge. */
  void leaderLost(LeaderChannel port) {
    if (partitionLeader == port) {
      partitionLeader = null;
      leaderLostAt = EventLoop.now();
    }
  }

  /** Takes in what the partition's leader tells about when refused callers may come back. */
  void updateRetryForecast(RetryForecast told) {
    forecast.update(told, EventLoop.now());
  }

  /**
   * Returns when the caller of a job that this host refuses may come back, in milliseconds.
   *
   * @param fallback what it is told if there is no valid forecast
   */
  long retryAfterMillis(JobId id, long fallback) {
    return forecast.retryAfterMillis(id, fallback, EventLoop.now());
  }

  /** Returns the partition's leader; null if there is none. */
  LeaderChannel partitionLeader() {
    return partitionLeader;
  }

  /** Tells whether the partition's leader can be reached, or may be soon. */
  boolean isPartitionLeaderExpected() {
    return partitionLeader != null || EventLoop.now() - leaderLostAt < LEADER_LOSS_GRACE_MICROS;
  }

  /** Tells whether some leader can be reached, or may be soon. */
  boolean isAnyLeaderExpected() {
    return domainLeader != null || isPartitionLeaderExpected() || isAwaitingDomainLeader();
  }

  /** Tells whether a leader is reached, or was until a short time ago. */
  boolean isReady() {
    return hadLeader && isAnyLeaderExpected();
  }
}
