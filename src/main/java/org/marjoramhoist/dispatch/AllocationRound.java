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

  private final TaskAllocator taskAllocator;

  /** Null unless jobs make way when not all can be in time. */
  private final SheddingState sheddingState;

  private final WorkerRegistry workers;
  private final RunController runController;
  private final JobFinisher jobFinisher;

  AllocationRound(
      TaskAllocator allocator,
      SheddingState shedding,
      WorkerRegistry workers,
      RunController runs,
      JobFinisher ender) {
    this.taskAllocator = allocator;
    this.sheddingState = shedding;
    this.workers = workers;
    this.runController = runs;
    this.jobFinisher = ender;
  }

  /**
   * Gives out room. Jobs that came while none waited are given room before anything is shed, so
   * that shedding costs nothing while there is enough room.
   */
  void run(long now, List<DispatchAction> out) {
    boolean isDue = sheddingState != null && sheddingState.pollDue();
    boolean waitedBefore = taskAllocator.hasQueuedJobs();
    if (isDue && waitedBefore) {
      shed(now, out);
    }
    taskAllocator.startWaitingTasks(now, out);
    if (isDue && !waitedBefore && taskAllocator.hasQueuedJobs()) {
      shed(now, out);
    }
    if (sheddingState != null && taskAllocator.hasQueuedJobs() && runController.window().isOpen()) {
      sheddingState.recordUtilization(workers.all(), taskAllocator.firstQueuedJob(), now);
    }
  }

  private void shed(long now, List<DispatchAction> out) {
    LoadShedder.Plan plan = sheddingState.plan(taskAllocator.refreshWaiting(), workers.all(), now);
    taskAllocator.setQueue(plan.queue());
    for (LoadShedder.Refusal refusal : plan.refused()) {
      sheddingState.recordRefusal(refusal);
      String reason =
          String.format(
              Locale.ROOT,
              "too much waits before it value=%.3g aheadMicros=%d",
              refusal.value(),
              refusal.aheadMicros());
      jobFinisher.end(refusal.job(), JobOutcome.REFUSED, reason, now, out);
    }
  }
}
