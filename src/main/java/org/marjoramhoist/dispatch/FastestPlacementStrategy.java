package org.marjoramhoist.dispatch;

/**
 * Chooses the worker on which a task finishes first. Ties are resolved by best fit: the worker that
 * is left with the least free capacity.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class FastestPlacementStrategy implements PlacementStrategy {

  /** Run times that differ by less than this fraction are considered equal. */
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
    public void addCandidate(Worker worker, double slowdown) {
      double runMicros = micros * slowdown;
      long leftoverCpuMillis = worker.freeResources.cpuMillis() - requiredCpuMillis;
      boolean shorter = runMicros < bestMicros * (1 - TIE_TOLERANCE);
      boolean equal = runMicros < bestMicros * (1 + TIE_TOLERANCE);
      if (best == null || shorter || equal && leftoverCpuMillis < bestLeftoverCpuMillis) {
        best = worker;
        bestMicros = runMicros;
        bestLeftoverCpuMillis = leftoverCpuMillis;
      }
    }

    @Override
    public WorkerSelector.Choice best() {
      return best == null ? null : new WorkerSelector.Choice(best, bestMicros);
    }
  }
}
