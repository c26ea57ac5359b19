package org.marjoramhoist.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * By how much the jobs of a group of callers are preferred to those of others: the more, the less
 * the group lately got of what it is entitled to.
 *
 * <p>Durable jobs are in no group, as no caller waits for them. Without fair shares all weights are
 * 1 and nothing is kept. Confined to one thread.
 */
final class FairShareWeights {

  /** The greatest weight, and the inverse of the least: bounds the value lost to fairness. */
  private static final double MAX_WEIGHT = 4;

  private final ServedShares shares;
  private final Map<Job, Long> servedAt = new HashMap<>();

  /** Creates weights, all of which are 1 unless shares are fair. */
  FairShareWeights(boolean fairShares, long now) {
    shares = fairShares ? new ServedShares(now) : null;
  }

  private boolean isTracked(Job job) {
    return shares != null && !job.isDurable();
  }

  private static ServedShares.CallerGroup groupOf(Job job) {
    return new ServedShares.CallerGroup(job.origin, job.requestClass().name());
  }

  /** Takes in a new job, which an earlier leader may have started. */
  void jobArrived(Job job, long now) {
    if (isTracked(job)) {
      shares.recordDemand(groupOf(job), job.estimatedWork(), now);
      if (job.started) {
        jobStarted(job, now);
      }
    }
  }

  /** Takes in that the first task of a job is started. */
  void jobStarted(Job job, long now) {
    if (isTracked(job) && servedAt.putIfAbsent(job, now) == null) {
      shares.recordServed(groupOf(job), job.estimatedWork(), now);
    }
  }

  /**
   * Takes in the end of a job. What was started and isn't done in time was not served.
   *
   * @param inTime whether it was done within its objective
   */
  void jobEnded(Job job, boolean inTime, long now) {
    if (!isTracked(job)) {
      return;
    }
    Long since = servedAt.remove(job);
    if (since != null && !inTime) {
      shares.retractServed(groupOf(job), job.estimatedWork(), since, now);
    } else if (since == null && inTime) {
      // An earlier leader started it.
      shares.recordServed(groupOf(job), job.estimatedWork(), now);
    }
  }

  /** Returns what the value of a job is to be multiplied by. */
  double weight(Job job, long now) {
    if (!isTracked(job)) {
      return 1;
    }
    return weightOf(shares.serviceRatio(groupOf(job), now));
  }

  /**
   * Returns the weight of a group by the ratio of its served work to its entitlement.
   *
   * <p>The square lies between proportional fairness, the inverse, and max-min fairness. With the
   * inverse, the spread of values among jobs of one class outweighs what a group lacks for too
   * long.
   */
  static double weightOf(double level) {
    return Math.max(1 / MAX_WEIGHT, Math.min(MAX_WEIGHT, 1 / (level * level)));
  }

  /** Returns the served shares of the groups that lately asked for anything. */
  Map<ServedShares.CallerGroup, Double> servedShares(long now) {
    return shares == null ? Map.of() : shares.servedShares(now);
  }
}
