package org.marjoramhoist.dispatch;

/**
 * Learns by how much the estimates of a request class over- or understate differences in run time.
 *
 * <p>Estimation errors make estimates vary more than run times do: high estimates tend to be too
 * high and low ones too low. The correction is a linear regression of log(run time / estimate) on
 * log(estimate) with exponential decay of older runs. Confined to one thread.
 */
final class EstimateCorrection {

  /** The minimum weight of a new run; the n-th run has a weight of at least 1/n. */
  private static final double MIN_WEIGHT = 0.005;

  /** The weight, in runs, of the prior assumption that estimates need no correction. */
  private static final double PRIOR_RUN_COUNT = 20;

  /** The assumed variance of log(estimate) for the prior runs. */
  private static final double PRIOR_VARIANCE = 0.1;

  private long count;
  private double meanLogEstimate;
  private double meanError;
  private double estimateVariance;
  private double covariance;

  /**
   * Updates the regression with a run.
   *
   * @param estimateMillis the estimate, at least 1
   * @param error log(run time / predicted run time)
   */
  void learn(long estimateMillis, double error) {
    count++;
    double weight = Math.max(MIN_WEIGHT, 1.0 / count);
    double logDeviation = Math.log(estimateMillis) - meanLogEstimate;
    double errorDeviation = error - meanError;
    meanLogEstimate += weight * logDeviation;
    meanError += weight * errorDeviation;
    estimateVariance += weight * ((1 - weight) * logDeviation * logDeviation - estimateVariance);
    covariance += weight * ((1 - weight) * logDeviation * errorDeviation - covariance);
  }

  /**
   * Returns the factor by which the predicted run time is to be multiplied for a given estimate.
   */
  double correctionFactor(long estimateMillis) {
    if (count == 0) {
      return 1;
    }
    double priorVariance = PRIOR_VARIANCE * PRIOR_RUN_COUNT / (PRIOR_RUN_COUNT + count);
    double slope = Math.max(-1, Math.min(0, covariance / (estimateVariance + priorVariance)));
    return Math.exp(slope * (Math.log(estimateMillis) - meanLogEstimate));
  }
}
