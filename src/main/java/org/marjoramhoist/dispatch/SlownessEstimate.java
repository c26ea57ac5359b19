package org.marjoramhoist.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how many times as long as predicted runs currently take on one worker.
 *
 * <p>It is the geometric mean over the runs that the worker completed recently and over those that
 * are active and show progress or have exceeded their prediction, of which those of one job count
 * as one. A job with a wrong estimate therefore does not make its worker slow. The weight of a
 * completed run decays with its age, so that a worker found slow is tried again. Confined to one
 * thread.
 */
final class SlownessEstimate {

  /** The age at which the weight of a completed run has decayed to 1/e. */
  private static final double TIME_CONSTANT_MICROS = 3_000_000;

  /** The largest weight, in runs, of all completed runs: older ones must not hide a change. */
  private static final double MAX_WEIGHT = 1.5;

  /** The weight, in runs, of the prior assumption that runs take as long as predicted. */
  private static final double PRIOR_RUN_COUNT = 0.5;

  /** The smallest estimate that is not explained by the usual prediction error. */
  private static final double MIN_SLOWNESS = 2.2;

  /** The largest ratio, and the inverse of the smallest, that a single run counts for. */
  private static final double MAX_RATIO = 12;

  private double logarithmSum;
  private double weight;
  private long decayedAt;

  /**
   * Records a completed run.
   *
   * @param ratio its run time over the run time predicted for a worker that is not slow
   */
  void runCompleted(double ratio, long now) {
    decay(now);
    double keep = Math.min(1, (MAX_WEIGHT - 1) / weight);
    logarithmSum = keep * logarithmSum + logarithm(ratio);
    weight = keep * weight + 1;
  }

  /** Returns the estimate for a worker with the given active runs; 1 if it is not slow. */
  double estimate(Collection<Run> activeRuns, long now) {
    decay(now);
    Map<Job, Double> slownessByJob = new HashMap<>();
    for (Run run : activeRuns) {
      double slowness = run.slowness(now);
      if (slowness > 0) {
        slownessByJob.merge(run.task.job, slowness, Math::min);
      }
    }
    double sum = logarithmSum;
    for (double slowness : slownessByJob.values()) {
      sum += logarithm(slowness);
    }
    double count = weight + slownessByJob.size() + PRIOR_RUN_COUNT;
    double slowness = Math.exp(sum / count);
    return slowness > MIN_SLOWNESS ? slowness : 1;
  }

  private static double logarithm(double ratio) {
    return Math.log(Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio)));
  }

  private void decay(long now) {
    double factor = ExponentialDecay.factor(decayedAt, now, TIME_CONSTANT_MICROS);
    logarithmSum *= factor;
    weight *= factor;
    decayedAt = now;
  }
}
