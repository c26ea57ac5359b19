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
  private static final double MEMORY_MICROS = 1_000_000;

  private static final double PACKING_RATE = 0.05;

  /** Below this the cores are idle for another reason than the size of tasks. */
  private static final double LEAST_PACKING = 0.6;

  private double predicted = 1;
  private double held = 1;
  private double packing = 1;

  /**
   * Takes in a run that was done.
   *
   * @param predictedMicros its predicted time on an average worker
   * @param heldMicros how long it held its cores
   * @param cpuMillis its cores, in thousandths
   * @param totalCpuMillis the cores of all workers, in thousandths
   */
  void runDone(double predictedMicros, double heldMicros, long cpuMillis, double totalCpuMillis) {
    double share = cpuMillis / Math.max(cpuMillis, totalCpuMillis);
    double keep = Math.exp(-share * heldMicros / MEMORY_MICROS);
    predicted = keep * predicted + share * predictedMicros;
    held = keep * held + share * heldMicros;
  }

  /** Takes in the share of the cores that is in use while jobs wait. */
  void observePacking(double share) {
    packing += PACKING_RATE * (Math.max(LEAST_PACKING, share) - packing);
  }

  /** Returns how much predicted time passes while a run holds its cores for a time of 1. */
  double speed() {
    return predicted / held;
  }

  /** Returns the share of the cores that can be in use at a time. */
  double packing() {
    return packing;
  }
}
