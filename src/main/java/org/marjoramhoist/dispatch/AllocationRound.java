package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Locale;
import org.marjoramhoist.job.JobOutcome;

/**
 * Gives out room to the waiting jobs, and sheds load before or after that if it is due.
 *
 * <p>Confined to one thread.
 */
final class AllocationRound {

  private final Allocator allocator;

  /** Null unless jobs make way when not all can be in time. */
  private final Shedding shedding;

  private final Workers workers;
  private final RunControl runs;
  private final JobEnder ender;

  AllocationRound(
      Allocator allocator, Shedding shedding, Workers workers, RunControl runs, JobEnder ender) {
    this.allocator = allocator;
    this.shedding = shedding;
    this.workers = workers;
    this.runs = runs;
    this.ender = ender;
  }

  /**
   * Gives out room. Jobs that came while none waited are given room before anything is shed, so
   * that shedding costs nothing while there is enough room.
   */
  void run(long now, List<DispatchAction> out) {
    boolean isDue = shedding != null && shedding.takeDue();
    boolean waitedBefore = allocator.hasWaiting();
    if (isDue && waitedBefore) {
      shed(now, out);
    }
    allocator.placeWaiting(now, out);
    if (isDue && !waitedBefore && allocator.hasWaiting()) {
      shed(now, out);
    }
    if (shedding != null && allocator.hasWaiting() && runs.window().isOpen()) {
      shedding.roomGivenOut(workers.all(), allocator.firstWaiting(), now);
    }
  }

  private void shed(long now, List<DispatchAction> out) {
    LoadShedder.Plan plan = shedding.plan(allocator.takeWaiting(), workers.all(), now);
    allocator.setLine(plan.line());
    for (LoadShedder.Refusal refusal : plan.refused()) {
      shedding.refused(refusal);
      String reason =
          String.format(
              Locale.ROOT,
              "too much waits before it value=%.3g aheadMicros=%d",
              refusal.value(),
              refusal.aheadMicros());
      ender.end(refusal.job(), JobOutcome.REFUSED, reason, now, out);
    }
  }
}
