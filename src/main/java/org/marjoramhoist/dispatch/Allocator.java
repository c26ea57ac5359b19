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
final class Allocator {

  private final long since;
  private final Jobs jobs;
  private final Workers workers;
  private final RunControl runs;
  private final Placement placement;
  private final WaitingOrder order;
  private final WaitingLine line;

  /**
   * Creates the allocation of a term.
   *
   * @param since the start of the term
   */
  Allocator(
      long since,
      Jobs jobs,
      Workers workers,
      RunControl runs,
      Placement placement,
      WaitingOrder order) {
    this.since = since;
    this.jobs = jobs;
    this.workers = workers;
    this.runs = runs;
    this.placement = placement;
    this.order = order;
    this.line = new WaitingLine(order);
  }

  /** Puts the waiting jobs in their order as of now, and returns their places. */
  List<WaitingOrder.Place> orderWaiting(long now) {
    List<WaitingOrder.Place> places = order.places(takeWaiting(), now);
    line.set(places);
    return places;
  }

  /** Returns the jobs that wait; the line must then be set. */
  Collection<Job> takeWaiting() {
    jobs.waiting().removeIf(job -> !job.hasWaitingTask());
    jobs.takeJoined();
    return jobs.waiting();
  }

  /** Tells whether jobs wait for room, as far as room was given out to them before. */
  boolean hasWaiting() {
    return !line.isEmpty();
  }

  /** Replaces the line by jobs whose places were found in order. */
  void setLine(List<WaitingOrder.Place> places) {
    line.set(places);
  }

  /** Returns the first of the jobs that wait; there must be one. */
  Job firstWaiting() {
    return line.iterator().next();
  }

  /** Starts what can be started now. */
  void placeWaiting(long now, List<DispatchAction> out) {
    line.join(jobs.takeJoined(), now);
    if (line.isEmpty() || !runs.window().isOpen()) {
      return;
    }
    Resources least = new Resources(line.leastCpuMillis(), 0, 0);
    List<Worker> roomy = Placement.withRoom(workers.all(), least, now);
    long most = Placement.mostCpuMillis(roomy);
    boolean settled = workers.isSettled(now);
    Iterator<Job> waiting = line.iterator();
    while (waiting.hasNext() && !roomy.isEmpty() && runs.window().isOpen()) {
      Job job = waiting.next();
      if (job.leastCpuMillis() <= most && mayPlace(job, settled, now)) {
        place(job, roomy, least, now, out);
        most = Placement.mostCpuMillis(roomy);
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
    boolean mayHaveRun = job.resumed || now - since > Dispatcher.CLAIM_MICROS;
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
      Placement.Choice choice = placement.choose(task, roomy, now);
      if (choice != null) {
        runs.start(task, choice.worker(), choice.micros(), now, out);
        if (!Placement.hasRoom(choice.worker(), least, now)) {
          roomy.remove(choice.worker());
        }
      } else if (task.failedOn == null) {
        fullStep = task.ref.step();
      }
    }
  }
}
