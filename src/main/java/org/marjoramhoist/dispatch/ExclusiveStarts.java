package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramhoist.dispatch.TaskLosses.Handling;

/**
 * Starts the tasks that may have crashed a worker, each on a worker that runs nothing else. If none
 * is idle, one is reserved until its runs have ended.
 *
 * <p>Invariants: nothing else is started on a worker that is reserved for a task or runs it
 * exclusively; a limited share of the workers is kept for such tasks at a time. Confined to one
 * thread.
 */
final class ExclusiveStarts {

  /** One worker in so many may be reserved for suspected tasks or run one. */
  private static final int WORKERS_PER_RESERVATION = 8;

  private final SuspectTasks suspects;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final RunController runs;
  private final WorkerSelector selector;
  private final Map<Task, Worker> reservations = new LinkedHashMap<>();

  ExclusiveStarts(
      SuspectTasks suspects,
      JobRegistry jobs,
      WorkerRegistry workers,
      RunController runs,
      WorkerSelector selector) {
    this.suspects = suspects;
    this.jobs = jobs;
    this.workers = workers;
    this.runs = runs;
    this.selector = selector;
  }

  /** Decides whether a job may be started now. */
  @FunctionalInterface
  interface StartPermission {
    boolean mayStart(Job job);
  }

  /** Returns the number of workers that are reserved for a task or run it exclusively. */
  int reservedWorkers() {
    return reservations.size();
  }

  /** Starts suspected tasks, or reserves workers for them, as far as the limits allow. */
  void run(StartPermission permission, long now, List<DispatchAction> out) {
    releaseUnused(now);
    if (suspects.isEmpty()) {
      return;
    }
    for (TaskLosses losses : suspects.likelyInnocentFirst()) {
      Task task = waitingTask(losses, now);
      if (task != null && runs.window().isOpen() && permission.mayStart(task.job)) {
        startOrReserve(task, now, out);
      }
    }
  }

  private Task waitingTask(TaskLosses losses, long now) {
    if (losses.handling(now) != Handling.EXCLUSIVE) {
      return null;
    }
    Job job = jobs.find(losses.task().job());
    Task task = job == null ? null : job.task(losses.task().step(), losses.task().index());
    return task != null && job.isReady(task) ? task : null;
  }

  private void releaseUnused(long now) {
    Iterator<Map.Entry<Task, Worker>> iterator = reservations.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Task, Worker> each = iterator.next();
      Task task = each.getKey();
      Worker worker = each.getValue();
      if (!isRunningOn(task, worker) && !isStillWanted(task, worker, now)) {
        worker.reservedFor = null;
        iterator.remove();
      }
    }
  }

  private static boolean isRunningOn(Task task, Worker worker) {
    return task.run != null && task.run.worker == worker && worker.isReachable();
  }

  private boolean isStillWanted(Task task, Worker worker, long now) {
    return jobs.find(task.job.id()) == task.job
        && task.isWaiting()
        && task.handling(now) == Handling.EXCLUSIVE
        && worker.isAvailable(now)
        && WorkerSelector.canRun(task, worker)
        && workers.find(worker.id()) == worker;
  }

  private void startOrReserve(Task task, long now, List<DispatchAction> out) {
    Worker reserved = reservations.get(task);
    if (reserved != null) {
      if (reserved.runs.isEmpty()) {
        start(task, reserved, now, out);
      }
      return;
    }
    if (reservations.size() >= maxReservations(now)) {
      return;
    }
    List<Worker> candidates = candidates(task, now);
    List<Worker> idle = candidates.stream().filter(worker -> worker.runs.isEmpty()).toList();
    if (idle.isEmpty()) {
      soonestIdle(candidates, now).ifPresent(worker -> reserve(task, worker));
      return;
    }
    WorkerSelector.Choice choice = selector.selectWorker(task, idle, now);
    if (choice != null) {
      reserve(task, choice.worker());
      runs.start(task, choice.worker(), choice.predictedMicros(), now, out);
    }
  }

  private void start(Task task, Worker worker, long now, List<DispatchAction> out) {
    WorkerSelector.Choice choice = selector.selectWorker(task, List.of(worker), now);
    if (choice != null) {
      runs.start(task, worker, choice.predictedMicros(), now, out);
    }
  }

  private void reserve(Task task, Worker worker) {
    worker.reservedFor = task;
    reservations.put(task, worker);
  }

  private int maxReservations(long now) {
    long available = workers.all().stream().filter(worker -> worker.isAvailable(now)).count();
    return (int) Math.max(1, available / WORKERS_PER_RESERVATION);
  }

  private List<Worker> candidates(Task task, long now) {
    List<Worker> candidates = new ArrayList<>();
    for (Worker worker : workers.all()) {
      if (worker.isUsable(now)
          && WorkerSelector.canEverRun(task.job.requestClass(), task.spec(), worker)
          && WorkerSelector.canRun(task, worker)) {
        candidates.add(worker);
      }
    }
    return candidates;
  }

  private static Optional<Worker> soonestIdle(List<Worker> candidates, long now) {
    return candidates.stream()
        .min(Comparator.comparingDouble(worker -> worker.remainingMicros(now)));
  }
}
