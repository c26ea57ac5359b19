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

  private final long since;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final RunController runs;
  private final WorkerSelector placement;
  private final QueueOrder order;
  private final WaitingLine line;

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
    this.since = since;
    this.jobs = jobs;
    this.workers = workers;
    this.runs = runs;
    this.placement = placement;
    this.order = order;
    this.line = new WaitingLine(order);
  }

  /** Puts the waiting jobs in their order as of now, and returns their places. */
  List<QueueOrder.Place> rebuildQueue(long now) {
    List<QueueOrder.Place> places = order.places(refreshWaiting(), now);
    line.set(places);
    return places;
  }

  /** Returns the jobs that wait; the line must then be set. */
  Collection<Job> refreshWaiting() {
    jobs.waiting().removeIf(job -> !job.hasWaitingTask());
    jobs.takeJoined();
    return jobs.waiting();
  }

  /** Tells whether jobs wait for room, as far as room was given out to them before. */
  boolean hasQueuedJobs() {
    return !line.isEmpty();
  }

  /** Replaces the line by jobs whose places were found in order. */
  void setQueue(List<QueueOrder.Place> places) {
    line.set(places);
  }

  /** Returns the first of the jobs that wait; there must be one. */
  Job firstQueuedJob() {
    return line.iterator().next();
  }

  /** Starts what can be started now. */
  void startWaitingTasks(long now, List<DispatchAction> out) {
    line.join(jobs.takeJoined(), now);
    if (line.isEmpty() || !runs.window().isOpen()) {
      return;
    }
    Resources least = new Resources(line.leastCpuMillis(), 0, 0);
    List<Worker> roomy = WorkerSelector.withRoom(workers.all(), least, now);
    long most = WorkerSelector.mostCpuMillis(roomy);
    boolean settled = workers.isSettled(now);
    Iterator<Job> waiting = line.iterator();
    while (waiting.hasNext() && !roomy.isEmpty() && runs.window().isOpen()) {
      Job job = waiting.next();
      if (job.leastCpuMillis() <= most && mayPlace(job, settled, now)) {
        place(job, roomy, least, now, out);
        most = WorkerSelector.mostCpuMillis(roomy);
      }
      if (!jobs.waiting().contains(job)) {
        waiting.remove();
      } else if (!job.hasWaitingTask()) {
        jobs.waiting().remove(job);
        waiting.remove();
      }
    }
  }

  private boolean mayPlace(Job job, boolean settled, long now) {
    boolean mayHaveRun = job.resumed || now - since > Dispatcher.RESUBMISSION_MICROS;
    return (settled || !mayHaveRun) && jobs.waiting().contains(job) && !jobs.isHeldBack(job);
  }

  /** Starts what can be started of a job; tasks of one step that need the same fit alike. */
  private void place(
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
        runs.start(task, choice.worker(), choice.micros(), now, out);
        if (!WorkerSelector.hasRoom(choice.worker(), least, now)) {
          roomy.remove(choice.worker());
        }
      } else if (task.lastFailedWorker == null) {
        fullStep = task.ref.step();
      }
    }
  }
}
