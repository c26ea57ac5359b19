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

  private static final long STOP_AGAIN_MICROS = 300_000;

  private final RunListener listener;

  private final DispatchPolicy policy;

  EarlierRuns(DispatchPolicy policy, RunListener listener) {
    this.policy = policy;
    this.listener = listener;
  }

  /** Takes in that such a run is at work. */
  void atWork(Worker worker, RunRef ref, long now, List<DispatchAction> out) {
    Task task = listener.taskFor(ref);
    if (task != null && task.isWaiting() && !policy.leadsDomain()) {
      takeOver(worker, task, ref, now);
      return;
    }
    Long since = worker.foreignRuns.putIfAbsent(ref, now);
    if (policy.leadsDomain()) {
      return;
    }
    boolean due = since == null || now - since > STOP_AGAIN_MICROS;
    boolean known = listener.knowsDurableJobs();
    boolean claimable = task == null && (!known || listener.mayBeClaimed(now));
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
    boolean known = listener.knowsDurableJobs() && !listener.mayBeClaimed(now);
    return !known && !policy.leadsDomain();
  }

  /** Takes in that such a run has ended. */
  void ended(Worker worker, Completion end, long now, List<DispatchAction> out) {
    if (policy.leadsDomain()) {
      return;
    }
    boolean done = end.outcome() == RunOutcome.DONE;
    if (!done && end.outcome() != RunOutcome.FAILED) {
      return;
    }
    Task task = listener.taskFor(end.run());
    Job ending = listener.endingJob(end.run().task().job());
    if (ending != null) {
      ending.holdCompletionUntilStored(worker, end);
      return;
    }
    if (task == null) {
      unknownEnded(worker, end, now);
      return;
    }
    if (done && !task.done) {
      listener.doneBefore(task, now, out);
    } else if (!done) {
      listener.failedBefore(task, end.run(), worker.id(), now, out);
    }
    if (task.job.holdCompletionUntilStored(worker, end)) {
      listener.endHeld(task.job, now);
    }
  }

  private void unknownEnded(Worker worker, Completion end, long now) {
    if (end.outcome() == RunOutcome.DONE && listener.mayBeClaimed(now)) {
      worker.foreignDone.add(end.run().task());
    }
    if (!listener.knowsDurableJobs()) {
      worker.foreignEnds.add(end);
      worker.holdCompletion(end.sequence());
    }
  }

  private static void takeOver(Worker worker, Task task, RunRef ref, long now) {
    Run run = new Run(ref, task, worker, now, worker.leaseUntilMillis, 0);
    run.answered(now);
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
  List<Worker> claim(Job job, Iterable<Worker> workers, long now) {
    List<Worker> takenOver = new ArrayList<>();
    for (Worker worker : workers) {
      claimDone(job, worker);
      for (RunRef ref : List.copyOf(worker.foreignRuns.keySet())) {
        Task task = taskOf(job, ref.task());
        if (task != null && task.isWaiting()) {
          takeOver(worker, task, ref, now);
          takenOver.add(worker);
        }
      }
    }
    return takenOver;
  }

  private static void claimDone(Job job, Worker worker) {
    Iterator<TaskRef> done = worker.foreignDone.iterator();
    while (done.hasNext()) {
      Task task = taskOf(job, done.next());
      if (task != null) {
        done.remove();
        job.markDone(task);
      }
    }
  }

  private static Task taskOf(Job job, TaskRef ref) {
    return ref.job().equals(job.id()) ? job.task(ref.step(), ref.index()) : null;
  }
}
