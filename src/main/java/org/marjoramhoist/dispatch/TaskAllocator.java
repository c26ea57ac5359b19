package org.marjoramhoist.dispatch;

import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;
import org.marjoramhoist.job.Resources;

/**
 * Allocates the free capacity of workers to the tasks of waiting jobs, in queue order.
 *
 * <p>Invariant: a task that may still be running for a previous leader on an unreachable worker is
 * not started. Confined to one thread.
 */
final class TaskAllocator {

  private final long termStart;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final RunController runs;
  private final WorkerSelector selector;
  private final QueueOrder order;
  private final ExclusiveStarts exclusiveStarts;
  private final WaitingQueue queue;

  /**
   * Creates the allocator of a term.
   *
   * @param termStart the start of the term
   */
  TaskAllocator(
      long termStart,
      JobRegistry jobs,
      WorkerRegistry workers,
      RunController runs,
      WorkerSelector selector,
      QueueOrder order,
      ExclusiveStarts exclusiveStarts) {
    this.termStart = termStart;
    this.jobs = jobs;
    this.workers = workers;
    this.runs = runs;
    this.selector = selector;
    this.order = order;
    this.exclusiveStarts = exclusiveStarts;
    this.queue = new WaitingQueue(order);
  }

  /** Sorts the waiting jobs as of now, replaces the queue by the result and returns it. */
  List<QueueOrder.Position> rebuildQueue(long now) {
    List<QueueOrder.Position> positions = order.sort(refreshWaiting(), now);
    queue.replaceAll(positions);
    return positions;
  }

  /**
   * Updates and returns the set of waiting jobs. The caller must set the queue afterwards, as jobs
   * that started waiting since the last call are no longer reported as new.
   */
  Collection<Job> refreshWaiting() {
    jobs.waiting().removeIf(job -> !job.hasWaitingTask());
    jobs.removeNewlyWaiting();
    return jobs.waiting();
  }

  /**
   * Returns whether the queue contains jobs. Jobs that started waiting after the last allocation
   * are not counted.
   */
  boolean hasQueuedJobs() {
    return !queue.isEmpty();
  }

  /**
   * Replaces the queue.
   *
   * @param positions the queue positions, in order
   */
  void setQueue(List<QueueOrder.Position> positions) {
    queue.replaceAll(positions);
  }

  /** Returns the first job of the queue, which must not be empty. */
  Job firstQueuedJob() {
    return queue.iterator().next();
  }

  /**
   * Starts the waiting tasks of a job, as far as the start limits allow, if the free capacity
   * suffices for all of them at once and the job then ends while its result is still useful.
   *
   * @return whether that is so
   */
  boolean startIfAllFit(Job job, long now, List<DispatchAction> out) {
    if (now + order.criticalPathMicros(job) > order.firmDeadline(job)
        || !mayStart(job, workers.isSettled(now), now)) {
      return false;
    }
    Resources minimum = new Resources(job.minCpuMillis(), 0, 0);
    List<Worker> candidates = WorkerSelector.withFreeCapacity(workers.all(), minimum, now);
    List<Task> tasks = job.waitingTasks();
    long largestNeed =
        tasks.stream().mapToLong(task -> task.spec().need().cpuMillis()).max().orElse(0);
    long places = candidates.stream().mapToLong(worker -> worker.placesFor(largestNeed)).sum();
    if (places < tasks.size()) {
      return false;
    }
    startTasks(job, candidates, minimum, now, out);
    return true;
  }

  /** Starts as many waiting tasks as free capacity, start limits and placement allow. */
  void startWaitingTasks(long now, List<DispatchAction> out) {
    boolean settled = workers.isSettled(now);
    Predicate<Job> mayStart = job -> mayStart(job, settled, now);
    exclusiveStarts.startUnlikelyCauses(mayStart, now, out);
    startQueuedTasks(settled, now, out);
    startOnEjectedWorkers(now, out);
    exclusiveStarts.startLikelyCauses(mayStart, now, out);
  }

  private void startQueuedTasks(boolean settled, long now, List<DispatchAction> out) {
    queue.insert(jobs.removeNewlyWaiting(), now);
    if (queue.isEmpty() || !runs.window().isOpen()) {
      return;
    }
    Resources minimum = new Resources(queue.minCpuMillis(), 0, 0);
    List<Worker> candidates = WorkerSelector.withFreeCapacity(workers.all(), minimum, now);
    long maxFreeCpuMillis = WorkerSelector.maxFreeCpuMillis(candidates);
    Iterator<Job> iterator = queue.iterator();
    while (iterator.hasNext() && !candidates.isEmpty() && runs.window().isOpen()) {
      Job job = iterator.next();
      if (job.minCpuMillis() <= maxFreeCpuMillis && mayStart(job, settled, now)) {
        startTasks(job, candidates, minimum, now, out);
        maxFreeCpuMillis = WorkerSelector.maxFreeCpuMillis(candidates);
      }
      if (!jobs.waiting().contains(job)) {
        iterator.remove();
      } else if (!job.hasWaitingTask()) {
        jobs.waiting().remove(job);
        iterator.remove();
      }
    }
  }

  private boolean mayStart(Job job, boolean settled, long now) {
    boolean mayHaveRun = job.mayHaveEarlierRuns || now - termStart > Dispatcher.RESUBMISSION_MICROS;
    return (settled || !mayHaveRun)
        && jobs.waiting().contains(job)
        && !jobs.isBlockedByEarlierRun(job);
  }

  /**
   * Tries the waiting tasks that only ejected workers can run, one at a time on each of these.
   * Ejection is a preference: it must not keep a task from the last worker that could run it.
   */
  void startOnEjectedWorkers(long now, List<DispatchAction> out) {
    if (queue.isEmpty()) {
      return;
    }
    List<Worker> ejected =
        workers.all().stream().filter(worker -> worker.mayBeProbed(now)).toList();
    if (ejected.isEmpty()) {
      return;
    }
    boolean settled = workers.isSettled(now);
    for (Job job : queue) {
      if (mayStart(job, settled, now)) {
        startOnEjected(job, ejected, now, out);
      }
    }
  }

  private void startOnEjected(Job job, List<Worker> ejected, long now, List<DispatchAction> out) {
    int step = -1;
    for (Task task : job.waitingTasks()) {
      boolean mayShare = task.handling(now) == TaskLosses.Handling.SHARED;
      if (task.ref.step() == step || !mayShare || !runs.window().isOpen()) {
        continue;
      }
      step = task.ref.step();
      List<Worker> idle = ejected.stream().filter(worker -> worker.runs.isEmpty()).toList();
      if (!workers.canRunElsewhere(task, "", now)) {
        start(selector.selectWorker(task, idle, now), task, now, out);
      }
    }
  }

  /** Starts a task on a selected worker; returns whether there was one. */
  private boolean start(
      WorkerSelector.Choice choice, Task task, long now, List<DispatchAction> out) {
    if (choice != null) {
      runs.start(task, choice.worker(), choice.predictedMicros(), now, out);
    }
    return choice != null;
  }

  /**
   * Starts as many tasks of a job as possible. All tasks of a step have the same requirements, so
   * the rest of a step is skipped once one of its tasks can't be placed, unless a failed run
   * excludes a worker for that task alone.
   */
  private void startTasks(
      Job job, List<Worker> candidates, Resources minimum, long now, List<DispatchAction> out) {
    int unplaceableStep = -1;
    for (Task task : job.waitingTasks()) {
      if (!runs.window().isOpen()) {
        return;
      }
      boolean mayShare = task.handling(now) == TaskLosses.Handling.SHARED;
      if (task.ref.step() == unplaceableStep || !mayShare) {
        continue;
      }
      WorkerSelector.Choice choice = selector.selectWorker(task, candidates, now);
      if (start(choice, task, now, out)) {
        if (!WorkerSelector.hasFreeCapacity(choice.worker(), minimum, now)) {
          candidates.remove(choice.worker());
        }
      } else if (!task.avoidsAnyWorker(now)) {
        unplaceableStep = task.ref.step();
      }
    }
  }
}
