package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.marjoramhoist.dispatch.WorkerReport.Completion;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/**
 * The runs that reports show and this leader did not order: taken over once their job is known,
 * stopped if it stays unknown.
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

  /** Takes in that such a run is at work. */
  void handleActiveRun(Worker worker, RunRef ref, long now, List<DispatchAction> out) {
    Task task = listener.findTask(ref);
    if (task != null && task.isWaiting() && !policy.leadsDomain()) {
      adopt(worker, task, ref, now);
      return;
    }
    Long since = worker.foreignRuns.putIfAbsent(ref, now);
    if (policy.leadsDomain()) {
      return;
    }
    boolean due = since == null || now - since > STOP_RETRY_MICROS;
    boolean known = listener.areDurableJobsLoaded();
    boolean claimable = task == null && (!known || listener.acceptsResubmissions(now));
    if (due && !claimable) {
      worker.foreignRuns.put(ref, now);
      out.add(new DispatchAction.Stop(worker.info(), ref));
    }
  }

  /**
   * Tells whether a run that is at work may yet turn out to belong to a job, so that it must be
   * kept: an entry host may still hand its job on, or the stored jobs are not known.
   */
  boolean mayBelongToJob(long now) {
    boolean known = listener.areDurableJobsLoaded() && !listener.acceptsResubmissions(now);
    return !known && !policy.leadsDomain();
  }

  /** Takes in that such a run has ended. */
  void handleCompletion(Worker worker, Completion end, long now, List<DispatchAction> out) {
    if (policy.leadsDomain()) {
      return;
    }
    boolean done = end.outcome() == RunOutcome.DONE;
    if (!done && end.outcome() != RunOutcome.FAILED) {
      return;
    }
    Task task = listener.findTask(end.run());
    Job ending = listener.findEndingJob(end.run().task().job());
    if (ending != null) {
      ending.holdCompletionUntilStored(worker, end);
      return;
    }
    if (task == null) {
      handleUnknownCompletion(worker, end, now);
      return;
    }
    if (done && !task.done) {
      listener.earlierRunDone(task, now, out);
    } else if (!done) {
      listener.earlierRunFailed(task, end.run(), worker.id(), now, out);
    }
    if (task.job.holdCompletionUntilStored(worker, end)) {
      listener.completionHeld(task.job, now);
    }
  }

  private void handleUnknownCompletion(Worker worker, Completion end, long now) {
    if (end.outcome() == RunOutcome.DONE && listener.acceptsResubmissions(now)) {
      worker.foreignCompletedTasks.add(end.run().task());
    }
    if (!listener.areDurableJobsLoaded()) {
      worker.foreignCompletions.add(end);
      worker.holdCompletion(end.sequence());
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
   * Gives a job that an entry host handed on what is at work or done of it.
   *
   * @return the workers on which runs were taken over
   */
  List<Worker> adoptRuns(Job job, Iterable<Worker> workers, long now) {
    List<Worker> takenOver = new ArrayList<>();
    for (Worker worker : workers) {
      markCompletedTasks(job, worker);
      for (RunRef ref : List.copyOf(worker.foreignRuns.keySet())) {
        Task task = findTask(job, ref.task());
        if (task != null && task.isWaiting()) {
          adopt(worker, task, ref, now);
          takenOver.add(worker);
        }
      }
    }
    return takenOver;
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
