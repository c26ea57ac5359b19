package org.marjoramhoist.dispatch;

/**
 * Chooses the worker on which a task is done first, and among equals the one that it fills best.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class FastestPlacementStrategy implements PlacementStrategy {

  /** Run times that differ by less than this share are taken for equal. */
  private static final double TIE_SHARE = 0.05;

  @Override
  public Selection begin(Task task, double micros, long now) {
    return new Fastest(task, micros);
  }

  private static final class Fastest implements Selection {

    private final long needed;
    private final double micros;
    private Worker best;
    private double bestMicros = Double.MAX_VALUE;
    private long bestLeft = Long.MAX_VALUE;

    private Fastest(Task task, double micros) {
      this.needed = task.spec().need().cpuMillis();
      this.micros = micros;
    }

    @Override
    public void offer(Worker worker, double factor) {
      double there = micros * factor;
      long left = worker.freeResources.cpuMillis() - needed;
      boolean shorter = there < bestMicros * (1 - TIE_SHARE);
      boolean equal = there < bestMicros * (1 + TIE_SHARE);
      if (best == null || shorter || equal && left < bestLeft) {
        best = worker;
        bestMicros = there;
        bestLeft = left;
      }
    }

    @Override
    public WorkerSelector.Choice chosen() {
      return best == null ? null : new WorkerSelector.Choice(best, bestMicros);
    }
  }
}
