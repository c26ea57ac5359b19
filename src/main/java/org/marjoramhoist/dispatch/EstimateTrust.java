package org.marjoramhoist.dispatch;

/**
 * Learns how far the differences between the estimates of a class come true.
 *
 * <p>Callers' errors make estimates differ more than run times do, so that a high estimate is
 * rather too high and a low one too low. It is a linear regression of the logarithm of run time
 * over estimate on the logarithm of the estimate, with exponential aging. Confined to one thread.
 */
final class EstimateTrust {

  /** The least share of a new run; 1 of n for the first ones. */
  private static final double LEAST_SHARE = 0.005;

  /** So many runs count as if their estimates had come true, as a few runs tell little. */
  private static final double PRIOR_RUNS = 20;

  private static final double PRIOR_VARIANCE = 0.1;

  private long count;
  private double meanLog;
  private double meanError;
  private double variance;
  private double covariance;

  /**
   * Learns from a run.
   *
   * @param estimateMillis its estimate, at least 1
   * @param error the logarithm of its run time over the predicted one
   */
  void learn(long estimateMillis, double error) {
    count++;
    double share = Math.max(LEAST_SHARE, 1.0 / count);
    double fromMean = Math.log(estimateMillis) - meanLog;
    double fromMeanError = error - meanError;
    meanLog += share * fromMean;
    meanError += share * fromMeanError;
    variance += share * ((1 - share) * fromMean * fromMean - variance);
    covariance += share * ((1 - share) * fromMean * fromMeanError - covariance);
  }

  /** Returns how many times as long as predicted a run with an estimate is likely to take. */
  double factor(long estimateMillis) {
    if (count == 0) {
      return 1;
    }
    double prior = PRIOR_VARIANCE * PRIOR_RUNS / (PRIOR_RUNS + count);
    double slope = Math.max(-1, Math.min(0, covariance / (variance + prior)));
    return Math.exp(slope * (Math.log(estimateMillis) - meanLog));
  }
}
