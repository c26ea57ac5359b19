package org.marjoramhoist.experiment;

import org.marjoramhoist.dispatch.DispatchSnapshot;

/**
 * The share of the workers' capacity in use, as the mean over the moments at which jobs waited.
 *
 * <p>Confined to one thread.
 */
final class CapacityUse {

  private double used;
  private int moments;

  /** Takes in what a leader knows at one moment. */
  void note(DispatchSnapshot snapshot) {
    long total = snapshot.workers().totalCpuMillis();
    if (snapshot.waitingJobs() > 0 && total > 0) {
      used += 1 - (double) snapshot.workers().freeCpuMillis() / total;
      moments++;
    }
  }

  /** Returns the mean share in use while jobs waited; 1 if none ever did. */
  double whileWaiting() {
    return moments == 0 ? 1 : used / moments;
  }
}
