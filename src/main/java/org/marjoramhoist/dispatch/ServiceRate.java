package org.marjoramhoist.dispatch;

/**
 * The rate at which the cores of the workers process work, in predicted core time per core and unit
 * of time.
 *
 * <p>It is the product of two learned values. The first is the predicted time of runs on an average
 * worker, relative to the time for which they occupied their cores; it covers differences in worker
 * speed, data locality and the latency of orders. The second is the fraction of the cores in use
 * while jobs wait, as the free capacity of a worker is often too small for any task. Confined to
 * one thread.
 */
final class ServiceRate {

  /** The occupied core time per core after which earlier observations decay to 1/e. */
  private static final double TIME_CONSTANT_MICROS = 1_000_000;

  /** The weight of a new observation of the utilization. */
  private static final double UTILIZATION_WEIGHT = 0.05;

  /**
   * The lower bound of observations. A lower utilization has causes other than the size of tasks.
   */
  private static final double MIN_UTILIZATION = 0.6;

  private double predictedMicros = 1;
  private double occupiedMicros = 1;
  private double maxUtilization = 1;

  /**
   * Records a completed run.
   *
   * @param runPredictedMicros the predicted run time on an average worker
   * @param runOccupiedMicros how long the run occupied its cores
   * @param cpuMillis the cores of the run, in thousandths
   * @param totalCpuMillis the cores of all workers, in thousandths
   */
  void recordRun(
      double runPredictedMicros, double runOccupiedMicros, long cpuMillis, double totalCpuMillis) {
    double share = cpuMillis / Math.max(cpuMillis, totalCpuMillis);
    double keep = Math.exp(-share * runOccupiedMicros / TIME_CONSTANT_MICROS);
    predictedMicros = keep * predictedMicros + share * runPredictedMicros;
    occupiedMicros = keep * occupiedMicros + share * runOccupiedMicros;
  }

  /** Records the fraction of the cores in use while jobs wait. */
  void recordUtilization(double observed) {
    maxUtilization += UTILIZATION_WEIGHT * (Math.max(MIN_UTILIZATION, observed) - maxUtilization);
  }

  /**
   * Returns the predicted run time completed per unit of time in which a run occupies its cores.
   */
  double speed() {
    return predictedMicros / occupiedMicros;
  }

  /** Returns the fraction of the cores that can be in use at the same time. */
  double maxUtilization() {
    return maxUtilization;
  }
}
