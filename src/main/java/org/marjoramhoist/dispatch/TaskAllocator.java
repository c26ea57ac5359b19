package org.marjoramhoist.dispatch;

import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import org.marjoramhoist.job.Resources;

/**
 * Gives the room of workers to the tasks of waiting jobs, in the order of the jobs.
 *
 * <p>Invariant: no task of a job that may be at work for an earlier leader out of sight is started.
 * Confined to one thread.
 */
final class TaskAllocator {

  private final long termStart;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final RunController runs;
  private final WorkerSelector placement;
  private final QueueOrder order;
  private final WaitingQueue queue;

  /**
   * Creates the allocation of a term.
   *
   * @param since the start of the term
   */
  TaskAllocator(
      long since,
      JobRegistry jobs,
      WorkerRegistry workers,
      RunController runs,
      WorkerSelector placement,
      QueueOrder order) {
    this.termStart = since;
    this.jobs = jobs;
    this.workers = workers;
    this.runs = runs;
    this.placement = placement;
    this.order = order;
    this.queue = new WaitingQueue(order);
  }

  /** Puts the waiting jobs in their order as of now, and returns their places. */
  List<QueueOrder.Position> rebuildQueue(long now) {
    List<QueueOrder.Position> places = order.sort(refreshWaiting(), now);
    queue.replaceAll(places);
    return places;
  }

  /** Returns the jobs that wait; the line must then be set. */
  Collection<Job> refreshWaiting() {
    jobs.waiting().removeIf(job -> !job.hasWaitingTask());
    jobs.removeNewlyWaiting();
    return jobs.waiting();
  }

  /** Tells whether jobs wait for room, as far as room was given out to them before. */
  boolean hasQueuedJobs() {
    return !queue.isEmpty();
  }

  /** Replaces the line by jobs whose places were found in order. */
  void setQueue(List<QueueOrder.Position> places) {
    queue.replaceAll(places);
  }

  /** Returns the first of the jobs that wait; there must be one. */
  Job firstQueuedJob() {
    return queue.iterator().next();
  }

  /** Starts what can be started now. */
  void startWaitingTasks(long now, List<DispatchAction> out) {
    queue.insert(jobs.removeNewlyWaiting(), now);
    if (queue.isEmpty() || !runs.window().isOpen()) {
      return;
    }
    Resources least = new Resources(queue.leastCpuMillis(), 0, 0);
    List<Worker> roomy = WorkerSelector.withFreeCapacity(workers.all(), least, now);
    long most = WorkerSelector.maxFreeCpuMillis(roomy);
    boolean settled = workers.isSettled(now);
    Iterator<Job> waiting = queue.iterator();
    while (waiting.hasNext() && !roomy.isEmpty() && runs.window().isOpen()) {
      Job job = waiting.next();
      if (job.minCpuMillis() <= most && mayStart(job, settled, now)) {
        startTasks(job, roomy, least, now, out);
        most = WorkerSelector.maxFreeCpuMillis(roomy);
      }
      if (!jobs.waiting().contains(job)) {
        waiting.remove();
      } else if (!job.hasWaitingTask()) {
        jobs.waiting().remove(job);
        waiting.remove();
      }
    }
  }

  private boolean mayStart(Job job, boolean settled, long now) {
    boolean mayHaveRun = job.mayHaveEarlierRuns || now - termStart > Dispatcher.CLAIM_MICROS;
    return (settled || !mayHaveRun)
        && jobs.waiting().contains(job)
        && !jobs.isBlockedByEarlierRun(job);
  }

  /** Starts what can be started of a job; tasks of one step that need the same fit alike. */
  private void startTasks(
      Job job, List<Worker> roomy, Resources least, long now, List<DispatchAction> out) {
    int fullStep = -1;
    for (Task task : job.waitingTasks()) {
      if (!runs.window().isOpen()) {
        return;
      }
      if (task.ref.step() == fullStep) {
        continue;
      }
      WorkerSelector.Choice choice = placement.selectWorker(task, roomy, now);
      if (choice != null) {
        runs.start(task, choice.worker(), choice.predictedMicros(), now, out);
        if (!WorkerSelector.hasFreeCapacity(choice.worker(), least, now)) {
          roomy.remove(choice.worker());
        }
      } else if (task.lastFailedWorker == null) {
        fullStep = task.ref.step();
      }
    }
  }
}
