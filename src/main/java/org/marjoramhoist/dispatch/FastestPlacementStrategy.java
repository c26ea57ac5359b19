package org.marjoramhoist.dispatch;

/**
 * Chooses the worker on which a task is done first, and among equals the one that it fills best.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class FastestPlacementStrategy implements PlacementStrategy {

  /** Run times that differ by less than this share are taken for equal. */
  private static final double TIE_TOLERANCE = 0.05;

  @Override
  public Selection newSelection(Task task, double micros, long now) {
    return new FastestSelection(task, micros);
  }

  private static final class FastestSelection implements Selection {

    private final long requiredCpuMillis;
    private final double micros;
    private Worker best;
    private double bestMicros = Double.MAX_VALUE;
    private long bestLeftoverCpuMillis = Long.MAX_VALUE;

    private FastestSelection(Task task, double micros) {
      this.requiredCpuMillis = task.spec().need().cpuMillis();
      this.micros = micros;
    }

    @Override
    public void addCandidate(Worker worker, double factor) {
      double there = micros * factor;
      long left = worker.freeResources.cpuMillis() - requiredCpuMillis;
      boolean shorter = there < bestMicros * (1 - TIE_TOLERANCE);
      boolean equal = there < bestMicros * (1 + TIE_TOLERANCE);
      if (best == null || shorter || equal && left < bestLeftoverCpuMillis) {
        best = worker;
        bestMicros = there;
        bestLeftoverCpuMillis = left;
      }
    }

    @Override
    public WorkerSelector.Choice best() {
      return best == null ? null : new WorkerSelector.Choice(best, bestMicros);
    }
  }
}
