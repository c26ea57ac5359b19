package org.marjoramhoist.dispatch;

/**
 * Learns how far the differences between the estimates of a class come true.
 *
 * <p>Callers' errors make estimates differ more than run times do, so that a high estimate is
 * rather too high and a low one too low. It is a linear regression of the logarithm of run time
 * over estimate on the logarithm of the estimate, with exponential aging. Confined to one thread.
 */
final class EstimateCorrection {

  /** The least weight of a new run; the n-th run has at least 1/n. */
  private static final double MIN_WEIGHT = 0.005;

  /** How many runs the assumption that all estimates come true counts for. */
  private static final double PRIOR_RUN_COUNT = 20;

  /** The variance of the logarithm of the estimates that is assumed for those runs. */
  private static final double PRIOR_VARIANCE = 0.1;

  private long count;
  private double meanLog;
  private double meanError;
  private double estimateVariance;
  private double covariance;

  /**
   * Learns from a run.
   *
   * @param estimateMillis its estimate, at least 1
   * @param error the logarithm of its run time over the predicted one
   */
  void learn(long estimateMillis, double error) {
    count++;
    double share = Math.max(MIN_WEIGHT, 1.0 / count);
    double fromMean = Math.log(estimateMillis) - meanLog;
    double fromMeanError = error - meanError;
    meanLog += share * fromMean;
    meanError += share * fromMeanError;
    estimateVariance += share * ((1 - share) * fromMean * fromMean - estimateVariance);
    covariance += share * ((1 - share) * fromMean * fromMeanError - covariance);
  }

  /** Returns how many times as long as predicted a run with an estimate is likely to take. */
  double correctionFactor(long estimateMillis) {
    if (count == 0) {
      return 1;
    }
    double prior = PRIOR_VARIANCE * PRIOR_RUN_COUNT / (PRIOR_RUN_COUNT + count);
    double slope = Math.max(-1, Math.min(0, covariance / (estimateVariance + prior)));
    return Math.exp(slope * (Math.log(estimateMillis) - meanLog));
  }
}
