package org.marjoramhoist.dispatch;

/**
 * How fast the cores of the workers do work, in predicted core time per core and time.
 *
 * <p>It is the product of two learned figures. One is how the predicted time of runs on an average
 * worker relates to the time for which they held their cores; this covers fast and slow workers,
 * ways to the data and the delay of orders. The other is the share of the cores that is in use
 * while jobs wait, as the room left on a worker is often too small for any task. Confined to one
 * thread.
 */
final class ServiceRate {

  /** The held core time after which an earlier figure counts for 1/e, per core. */
  private static final double TIME_CONSTANT_MICROS = 1_000_000;

  /** The weight of a new observation in the learned packing. */
  private static final double UTILIZATION_WEIGHT = 0.05;

  /** A lower share has other causes than the size of tasks. */
  private static final double MIN_UTILIZATION = 0.6;

  private double predictedMicros = 1;
  private double occupiedMicros = 1;
  private double maxUtilization = 1;

  /**
   * Takes in a run that was done.
   *
   * @param runPredictedMicros its predicted time on an average worker
   * @param runOccupiedMicros how long it held its cores
   * @param cpuMillis its cores, in thousandths
   * @param totalCpuMillis the cores of all workers, in thousandths
   */
  void recordRun(
      double runPredictedMicros, double runOccupiedMicros, long cpuMillis, double totalCpuMillis) {
    double share = cpuMillis / Math.max(cpuMillis, totalCpuMillis);
    double keep = Math.exp(-share * runOccupiedMicros / TIME_CONSTANT_MICROS);
    predictedMicros = keep * predictedMicros + share * runPredictedMicros;
    occupiedMicros = keep * occupiedMicros + share * runOccupiedMicros;
  }

  /** Takes in the share of the cores that is in use while jobs wait. */
  void recordUtilization(double share) {
    maxUtilization += UTILIZATION_WEIGHT * (Math.max(MIN_UTILIZATION, share) - maxUtilization);
  }

  /** Returns how much predicted time passes while a run holds its cores for a time of 1. */
  double speed() {
    return predictedMicros / occupiedMicros;
  }

  /** Returns the share of the cores that can be in use at a time. */
  double maxUtilization() {
    return maxUtilization;
  }
}
