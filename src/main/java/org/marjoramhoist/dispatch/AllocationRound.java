package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Locale;
import org.marjoramhoist.job.JobOutcome;

/**
 * Allocates free capacity to the waiting jobs, and sheds load if it is due.
 *
 * <p>Invariant: no job is refused by a plan while free capacity is left that could serve it in
 * time. Confined to one thread.
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
   * Allocates free capacity. If jobs waited before, a plan decides their order first; if none did,
   * the new jobs are started before anything is planned, so that shedding costs nothing while there
   * is enough capacity.
   */
  void run(long now, List<DispatchAction> out) {
    boolean isDue = sheddingState != null && sheddingState.pollDue();
    boolean waitedBefore = taskAllocator.hasQueuedJobs();
    List<LoadShedder.Refusal> refused = isDue && waitedBefore ? plan(now) : List.of();
    taskAllocator.startWaitingTasks(now, out);
    if (isDue && !waitedBefore && taskAllocator.hasQueuedJobs()) {
      refused = plan(now);
    }
    refuse(refused, now, out);
    if (sheddingState != null && taskAllocator.hasQueuedJobs() && runController.window().isOpen()) {
      sheddingState.recordUtilization(workers.all(), taskAllocator.firstQueuedJob(), now);
    }
  }

  /** Plans the waiting jobs and returns those to refuse. */
  private List<LoadShedder.Refusal> plan(long now) {
    LoadShedder.Plan plan = sheddingState.plan(taskAllocator.refreshWaiting(), workers.all(), now);
    taskAllocator.setQueue(plan.queue());
    return plan.refused();
  }

  /** Refuses jobs, except those that the capacity left free by the others can serve in time. */
  private void refuse(List<LoadShedder.Refusal> refused, long now, List<DispatchAction> out) {
    for (LoadShedder.Refusal refusal : refused) {
      Job job = refusal.job();
      if (taskAllocator.startIfAllFit(job, now, out)) {
        continue;
      }
      sheddingState.recordRefusal(refusal);
      String reason =
          String.format(
              Locale.ROOT,
              "too much waits before it value=%.3g aheadMicros=%d",
              refusal.value(),
              refusal.aheadMicros());
      jobFinisher.end(job, JobOutcome.REFUSED, reason, now, out);
    }
  }
}
