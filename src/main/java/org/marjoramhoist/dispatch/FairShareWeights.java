package org.marjoramhoist.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Weights of caller groups for fair sharing: the less of its entitlement a group recently received,
 * the higher the weight of its jobs.
 *
 * <p>Durable jobs belong to no group, as no caller waits for them. If fair shares are disabled, all
 * weights are 1 and no state is kept. Confined to one thread.
 */
final class FairShareWeights {

  /** The maximum weight; the minimum is its inverse. Limits the job value lost to fairness. */
  private static final double MAX_WEIGHT = 4;

  private final ServedShares shares;
  private final Map<Job, Long> servedAt = new HashMap<>();

  /** Creates the weights. All are 1 unless fair shares are enabled. */
  FairShareWeights(boolean fairShares, long now) {
    shares = fairShares ? new ServedShares(now) : null;
  }

  private boolean isTracked(Job job) {
    return shares != null && !job.isDurable();
  }

  private static ServedShares.CallerGroup groupOf(Job job) {
    return new ServedShares.CallerGroup(job.origin, job.requestClass().name());
  }

  /** Records a new job. A previous leader may have started it already. */
  void jobArrived(Job job, long now) {
    if (isTracked(job)) {
      shares.recordDemand(groupOf(job), job.estimatedWork(), now);
      if (job.started) {
        jobStarted(job, now);
      }
    }
  }

  /** Records that the first task of a job was started. */
  void jobStarted(Job job, long now) {
    if (isTracked(job) && servedAt.putIfAbsent(job, now) == null) {
      shares.recordServed(groupOf(job), job.estimatedWork(), now);
    }
  }

  /**
   * Records the end of a job. The work of a started job counts as served only if the job met its
   * objective.
   *
   * @param metObjective whether the job succeeded within its objective
   */
  void jobEnded(Job job, boolean metObjective, long now) {
    if (!isTracked(job)) {
      return;
    }
    Long startedAt = servedAt.remove(job);
    if (startedAt != null && !metObjective) {
      shares.retractServed(groupOf(job), job.estimatedWork(), startedAt, now);
    } else if (startedAt == null && metObjective) {
      // The job was started by a previous leader.
      shares.recordServed(groupOf(job), job.estimatedWork(), now);
    }
  }

  /** Returns the factor by which the value of a job is to be multiplied. */
  double weight(Job job, long now) {
    if (!isTracked(job)) {
      return 1;
    }
    return weightOf(shares.serviceRatio(groupOf(job), now));
  }

  /**
   * Returns the weight of a group.
   *
   * <p>The inverse square is a compromise between proportional fairness (the inverse) and max-min
   * fairness. With the plain inverse, differences in value between jobs of one class outweigh the
   * deficit of a group for too long.
   *
   * @param serviceRatio the served work of the group, divided by its entitlement
   */
  static double weightOf(double serviceRatio) {
    return Math.max(1 / MAX_WEIGHT, Math.min(MAX_WEIGHT, 1 / (serviceRatio * serviceRatio)));
  }

  /** Returns the served shares of the groups with recent demand. */
  Map<ServedShares.CallerGroup, Double> servedShares(long now) {
    return shares == null ? Map.of() : shares.servedShares(now);
  }
}
