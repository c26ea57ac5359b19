package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import org.marjoramhoist.dispatch.ReceivedRetryForecast;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.job.JobId;

/**
 * Tracks the leaders that this host can send to, and since when there has been none: the
 * partition's leader and, while the failure domain is isolated, the domain's leader.
 *
 * <p>Confined to the event loop's thread.
 */
final class LeaderTracker {

  /** When refused callers may retry if there is no forecast of the leader. */
  static final long DEFAULT_RETRY_MILLIS = 2_000;

  /** How long jobs wait for an isolated failure domain to elect its leader. */
  private static final long DOMAIN_ELECTION_TIMEOUT_MICROS = 1_500_000;

  /** How long callers wait for a new leader after the last one was lost. */
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

  /** Registers a task to run each time that a leader is found; tasks run in registration order. */
  void onLeaderFound(Runnable task) {
    leaderFoundTasks.add(task);
  }

  /** Registers a task to run each time that a leader of the failure domain is found or lost. */
  void onDomainLeaderChange(Runnable task) {
    domainLeaderChangeTasks.add(task);
  }

  /** Sets the leader of the failure domain; null if there is none. */
  void setDomainLeader(LeaderChannel channel) {
    if (domainLeader == channel) {
      return;
    }
    if (channel == null) {
      leaderLostAt = EventLoop.now();
    }
    hadLeader |= channel != null;
    domainLeader = channel;
    domainLeaderChangeTasks.forEach(Runnable::run);
  }

  /**
   * Records that the leader of the failure domain has handed over: it accepts no more jobs, but
   * still reports the results of those that it has.
   */
  void domainLeaderHandedOver() {
    formerDomainLeader = domainLeader;
    domainLeader = null;
    leaderLostAt = EventLoop.now();
  }

  /** Records that the leader that has handed over reports no more results. */
  void removeFormerDomainLeader() {
    if (formerDomainLeader != null) {
      formerDomainLeader = null;
      domainLeaderChangeTasks.forEach(Runnable::run);
    }
  }

  /**
   * Returns whether a channel leads to the domain leader that has handed over and still has jobs.
   */
  boolean isFormerDomainLeader(LeaderChannel channel) {
    return channel == formerDomainLeader;
  }

  /** Records that the failure domain is isolated and starts to elect a leader. */
  void domainElectionStarted() {
    domainElectionUntil = EventLoop.now() + DOMAIN_ELECTION_TIMEOUT_MICROS;
  }

  /** Returns whether jobs wait for the failure domain to elect a leader. */
  boolean isAwaitingDomainLeader() {
    return !hasLeader() && EventLoop.now() < domainElectionUntil;
  }

  /** Returns whether any leader can be reached. */
  boolean hasLeader() {
    return partitionLeader != null || domainLeader != null;
  }

  /** Returns the leader of the isolated failure domain; null if there is none. */
  LeaderChannel domainLeader() {
    return domainLeader;
  }

  /** Records that the partition's leader can be reached. */
  void leaderFound(LeaderChannel channel) {
    partitionLeader = channel;
    hadLeader = true;
    leaderFoundTasks.forEach(Runnable::run);
  }

  /**
   * Records that the partition's leader can't be reached any more; does nothing if another one was
   * found since.
   */
  void leaderLost(LeaderChannel channel) {
    if (partitionLeader == channel) {
      partitionLeader = null;
      leaderLostAt = EventLoop.now();
    }
  }

  /** Updates the forecast of the partition's leader on when refused callers may retry. */
  void updateRetryForecast(RetryForecast received) {
    forecast.update(received, EventLoop.now());
  }

  /**
   * Returns after how many milliseconds the caller of a refused job may retry.
   *
   * @param fallback the value if there is no valid forecast
   */
  long retryAfterMillis(JobId id, long fallback) {
    return forecast.retryAfterMillis(id, fallback, EventLoop.now());
  }

  /** Returns the partition's leader; null if there is none. */
  LeaderChannel partitionLeader() {
    return partitionLeader;
  }

  /** Returns whether the partition's leader can be reached, or was lost only recently. */
  boolean isPartitionLeaderExpected() {
    return partitionLeader != null || EventLoop.now() - leaderLostAt < LEADER_LOSS_GRACE_MICROS;
  }

  /** Returns whether any leader can be reached or is expected to be soon. */
  boolean isAnyLeaderExpected() {
    return domainLeader != null || isPartitionLeaderExpected() || isAwaitingDomainLeader();
  }

  /** Returns whether this host has ever had a leader and still has, or expects, one. */
  boolean isReady() {
    return hadLeader && isAnyLeaderExpected();
  }
}
