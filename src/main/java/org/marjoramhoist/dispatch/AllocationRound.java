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

  private final TaskAllocator allocator;

  /** Null unless jobs make way when not all can be in time. */
  private final SheddingState shedding;

  private final WorkerRegistry workers;
  private final RunController runs;
  private final JobFinisher ender;

  AllocationRound(
      TaskAllocator allocator,
      SheddingState shedding,
      WorkerRegistry workers,
      RunController runs,
      JobFinisher ender) {
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
    boolean isDue = shedding != null && shedding.pollDue();
    boolean waitedBefore = allocator.hasQueuedJobs();
    if (isDue && waitedBefore) {
      shed(now, out);
    }
    allocator.startWaitingTasks(now, out);
    if (isDue && !waitedBefore && allocator.hasQueuedJobs()) {
      shed(now, out);
    }
    if (shedding != null && allocator.hasQueuedJobs() && runs.window().isOpen()) {
      shedding.recordUtilization(workers.all(), allocator.firstQueuedJob(), now);
    }
  }

  private void shed(long now, List<DispatchAction> out) {
    LoadShedder.Plan plan = shedding.plan(allocator.refreshWaiting(), workers.all(), now);
    allocator.setQueue(plan.queue());
    for (LoadShedder.Refusal refusal : plan.refused()) {
      shedding.recordRefusal(refusal);
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
