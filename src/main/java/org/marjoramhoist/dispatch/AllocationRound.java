package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Locale;
import org.marjoramhoist.job.JobOutcome;

/**
 * Allocates free capacity to the waiting jobs, and sheds load before or after that if it is due.
 *
 * <p>Confined to one thread.
 */
final class AllocationRound {

  private final TaskAllocator taskAllocator;

  /** Null unless load shedding is enabled. */
  private final SheddingState sheddingState;

  private final WorkerRegistry workers;
  private final RunController runController;
  private final JobFinisher jobFinisher;

  AllocationRound(
      TaskAllocator taskAllocator,
      SheddingState sheddingState,
      WorkerRegistry workers,
      RunController runController,
      JobFinisher jobFinisher) {
    this.taskAllocator = taskAllocator;
    this.sheddingState = sheddingState;
    this.workers = workers;
    this.runController = runController;
    this.jobFinisher = jobFinisher;
  }

  /**
   * Allocates free capacity. If no job waited before, the new jobs are started before anything is
   * shed, so that shedding costs nothing while there is enough capacity.
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
