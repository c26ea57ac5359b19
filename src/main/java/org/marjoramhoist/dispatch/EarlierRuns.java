package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.WorkerReport.Completion;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;
import org.marjoramhoist.log.LogEvent;

/**
 * Handles reported runs that this leader did not order: adopts them once their job is known, and
 * stops them if it stays unknown.
 *
 * <p>Confined to one thread.
 */
final class EarlierRuns {

  private static final long STOP_RETRY_MICROS = 300_000;

  private final RunListener listener;

  private final DispatchPolicy policy;

  EarlierRuns(DispatchPolicy policy, RunListener listener) {
    this.policy = policy;
    this.listener = listener;
  }

  /** Handles a reported run that is running. */
  void handleActiveRun(Worker worker, RunRef ref, long now, List<DispatchAction> out) {
    Task task = listener.findTask(ref);
    if (task != null && task.isWaiting() && !policy.leadsDomain()) {
      adopt(worker, task, ref, now);
      return;
    }
    Long since = worker.foreignRuns.putIfAbsent(ref, now);
    boolean due = since == null || now - since > STOP_RETRY_MICROS;
    if (policy.leadsDomain()) {
      if (due && mayBeKeptAliveHere(worker, ref, now)) {
        worker.foreignRuns.put(ref, now);
        out.add(new DispatchAction.Stop(worker.info(), ref));
      }
      return;
    }
    boolean loaded = listener.areDurableJobsLoaded();
    boolean adoptable = task == null && (!loaded || listener.acceptsResubmissions(now));
    if (due && !adoptable) {
      worker.foreignRuns.put(ref, now);
      out.add(new DispatchAction.Stop(worker.info(), ref));
    }
  }

  /**
   * Tells whether a lease that this leader of a domain granted may keep a run of another leader
   * alive, which that one takes for expired. The order to start it was executed late, or the other
   * leader is in contact with the worker.
   */
  private boolean mayBeKeptAliveHere(Worker worker, RunRef ref, long now) {
    return worker.leaseUntilMillis > 0
        && !listener.hasHandedOver()
        && !worker.clock.hasCertainlyPassed(worker.leaseUntilMillis, now)
        && !listener.isOfPredecessor(ref.task().job());
  }

  /**
   * Tells whether a foreign run may still turn out to belong to a job and must therefore be kept
   * running: an entry host may yet resubmit its job, or the stored jobs are not loaded.
   */
  boolean mayBelongToJob(long now) {
    boolean allJobsKnown = listener.areDurableJobsLoaded() && !listener.acceptsResubmissions(now);
    return !allJobsKnown && !policy.leadsDomain();
  }

  /** Handles a reported completion. */
  void handleCompletion(Worker worker, Completion completion, long now, List<DispatchAction> out) {
    if (policy.leadsDomain()) {
      return;
    }
    boolean succeeded = completion.outcome() == RunOutcome.DONE;
    if (!succeeded && completion.outcome() != RunOutcome.FAILED) {
      return;
    }
    Task task = listener.findTask(completion.run());
    Job ending = listener.findEndingJob(completion.run().task().job());
    if (ending != null) {
      ending.holdCompletionUntilStored(worker, completion);
      return;
    }
    if (task == null) {
      handleUnknownCompletion(worker, completion, now);
      return;
    }
    if (succeeded && completion.run().number() < task.lastRunNumber) {
      out.add(new Log(LogEvent.RUN_DONE_LATE, describe(worker, completion, task)));
    }
    if (succeeded && !task.done) {
      listener.earlierRunDone(task, now, out);
    } else if (!succeeded) {
      listener.earlierRunFailed(task, completion.run(), worker.id(), now, out);
    }
    if (task.job.holdCompletionUntilStored(worker, completion)) {
      listener.completionHeld(task.job, now);
    }
  }

  private static String describe(Worker worker, Completion completion, Task task) {
    return "run="
        + completion.run()
        + " worker="
        + worker.id()
        + " sequence="
        + completion.sequence()
        + " lastRun="
        + task.lastRunNumber;
  }

  private void handleUnknownCompletion(Worker worker, Completion completion, long now) {
    if (completion.outcome() == RunOutcome.DONE && listener.acceptsResubmissions(now)) {
      worker.foreignCompletedTasks.add(completion.run().task());
    }
    if (!listener.areDurableJobsLoaded()) {
      worker.foreignCompletions.add(completion);
      worker.holdCompletion(completion.sequence());
    }
  }

  private static void adopt(Worker worker, Task task, RunRef ref, long now) {
    Run run = new Run(ref, task, worker, now, worker.leaseUntilMillis, 0);
    run.startConfirmed(now);
    task.run = run;
    task.job.started = true;
    task.lastRunNumber = Math.max(task.lastRunNumber, ref.number());
    worker.foreignRuns.remove(ref);
    worker.add(run);
  }

  /**
   * Adopts the reported active and completed runs of a resubmitted job.
   *
   * @return the worker of each adopted active run
   */
  List<Worker> adoptRuns(Job job, Iterable<Worker> workers, long now) {
    List<Worker> adopted = new ArrayList<>();
    for (Worker worker : workers) {
      markCompletedTasks(job, worker);
      for (RunRef ref : List.copyOf(worker.foreignRuns.keySet())) {
        Task task = findTask(job, ref.task());
        if (task != null && task.isWaiting()) {
          adopt(worker, task, ref, now);
          adopted.add(worker);
        }
      }
    }
    return adopted;
  }

  private static void markCompletedTasks(Job job, Worker worker) {
    Iterator<TaskRef> done = worker.foreignCompletedTasks.iterator();
    while (done.hasNext()) {
      Task task = findTask(job, done.next());
      if (task != null) {
        done.remove();
        job.markDone(task);
      }
    }
  }

  private static Task findTask(Job job, TaskRef ref) {
    return ref.job().equals(job.id()) ? job.task(ref.step(), ref.index()) : null;
  }
}
