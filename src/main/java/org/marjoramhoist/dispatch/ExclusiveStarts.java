package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.marjoramhoist.dispatch.TaskLosses.Handling;

/**
 * Starts the tasks that may have crashed a worker, each on a worker that runs nothing else.
 *
 * <p>A task that is not the likeliest cause starts soon: if no worker is idle, one is reserved
 * until its runs have ended. The likeliest cause of a crash will probably cost another worker. It
 * waits until a worker is left idle, which is the smallest of them, and only few workers may be
 * missing because of such runs at a time.
 *
 * <p>Invariants: nothing else is started on a worker that is reserved for a task or runs it
 * exclusively; a limited share of the workers is kept for such tasks at a time. Confined to one
 * thread.
 */
final class ExclusiveStarts {

  /** One worker in so many may be reserved for suspected tasks or run one. */
  private static final int WORKERS_PER_RESERVATION = 8;

  /** Of so many idle workers one may be missing because of a likely cause. */
  private static final int IDLE_WORKERS_PER_LIKELY_CAUSE = 4;

  /** How long a likely cause waits for an idle worker before one is reserved for it. */
  private static final long IDLE_WAIT_MICROS = 10_000_000;

  private final SuspectTasks suspects;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final RunController runs;
  private final WorkerSelector selector;
  private final ProcessEnds ends;
  private final Map<Task, Worker> reservations = new LinkedHashMap<>();

  ExclusiveStarts(
      SuspectTasks suspects,
      JobRegistry jobs,
      WorkerRegistry workers,
      RunController runs,
      WorkerSelector selector,
      ProcessEnds ends) {
    this.suspects = suspects;
    this.jobs = jobs;
    this.workers = workers;
    this.runs = runs;
    this.selector = selector;
    this.ends = ends;
  }

  /** Returns the number of workers that are reserved for a task or run it exclusively. */
  int reservedWorkers() {
    return reservations.size();
  }

  /**
   * Starts the tasks that are not the likeliest cause of a crash, or reserves workers for them. To
   * be called before free capacity is given to other tasks.
   */
  void startUnlikelyCauses(Predicate<Job> mayStart, long now, List<DispatchAction> out) {
    releaseUnused(now);
    for (TaskLosses losses : suspects.all()) {
      if (!waitsForIdleWorker(losses, now)) {
        Task task = waitingTask(losses, now);
        if (task != null && runs.window().isOpen() && mayStart.test(task.job)) {
          startOrReserve(task, now, out);
        }
      }
    }
  }

  /**
   * Starts likeliest causes of crashes on workers that are idle. To be called after free capacity
   * was given to other tasks.
   */
  void startLikelyCauses(Predicate<Job> mayStart, long now, List<DispatchAction> out) {
    for (TaskLosses losses : suspects.all()) {
      Task task = waitsForIdleWorker(losses, now) ? waitingTask(losses, now) : null;
      if (task != null && runs.window().isOpen() && mayStart.test(task.job)) {
        startOnIdleWorker(task, now, out);
      }
    }
  }

  private static boolean waitsForIdleWorker(TaskLosses losses, long now) {
    return losses.isLikelyCause() && now - losses.lastLossAt() <= IDLE_WAIT_MICROS;
  }

  private void startOnIdleWorker(Task task, long now, List<DispatchAction> out) {
    if (startIfReserved(task, now, out)) {
      return;
    }
    List<Worker> idle =
        candidates(task, now).stream().filter(worker -> worker.runs.isEmpty()).toList();
    if (missingWorkers() >= Math.max(1, idle.size() / IDLE_WORKERS_PER_LIKELY_CAUSE)) {
      return;
    }
    Optional<Worker> smallest =
        heardSinceLoss(task, idle, now, out).stream()
            .min(Comparator.comparingLong(worker -> worker.info().capacity().cpuMillis()));
    if (smallest.isPresent()) {
      reserve(task, smallest.get());
      start(task, smallest.get(), now, out);
    }
  }

  /**
   * Returns the idle workers that have answered since the last loss of a task: the others may be
   * lost for the same cause. If there are none, one is asked for a report.
   */
  private List<Worker> heardSinceLoss(
      Task task, List<Worker> idle, long now, List<DispatchAction> out) {
    List<Worker> heard = idle.stream().filter(task::isHeardSinceLoss).toList();
    if (heard.isEmpty()) {
      idle.stream()
          .filter(worker -> worker.pendingRenewals == 0)
          .max(Comparator.comparingLong(Worker::lastHeardAt))
          .ifPresent(worker -> runs.renewals().requestReport(worker, now, out));
    }
    return heard;
  }

  /** Returns how many workers may be lost to likely causes that ran alone. */
  private long missingWorkers() {
    long running = reservations.keySet().stream().filter(Task::isLikelyCause).count();
    long lost =
        suspects.unexplained().stream()
            .filter(loss -> loss.exclusive() && !workers.isGone(loss.worker()))
            .count();
    return running + lost;
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
        && WorkerSelector.canRun(task, worker, now)
        && workers.find(worker.id()) == worker;
  }

  private void startOrReserve(Task task, long now, List<DispatchAction> out) {
    if (startIfReserved(task, now, out) || reservations.size() >= maxReservations(now)) {
      return;
    }
    List<Worker> candidates = candidates(task, now);
    List<Worker> idle = candidates.stream().filter(worker -> worker.runs.isEmpty()).toList();
    if (idle.isEmpty()) {
      soonestIdle(candidates, now).ifPresent(worker -> reserve(task, worker));
      return;
    }
    List<Worker> heard = heardSinceLoss(task, idle, now, out);
    WorkerSelector.Choice choice = selector.selectWorker(task, heard, now);
    if (choice != null) {
      reserve(task, choice.worker());
      runs.start(task, choice.worker(), choice.predictedMicros(), now, out);
    }
  }

  /** Starts a task on the worker that is reserved for it, if that is idle; false if none is. */
  private boolean startIfReserved(Task task, long now, List<DispatchAction> out) {
    Worker reserved = reservations.get(task);
    if (reserved != null && reserved.runs.isEmpty()) {
      for (Worker heard : heardSinceLoss(task, List.of(reserved), now, out)) {
        start(task, heard, now, out);
      }
    }
    return reserved != null;
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

  /** Returns the usable workers that can run a task; if possible those that lately did not end. */
  private List<Worker> candidates(Task task, long now) {
    List<Worker> all = usable(task, now);
    List<Worker> reliable =
        all.stream().filter(worker -> !ends.anyBefore(worker.info().address(), now)).toList();
    return reliable.isEmpty() ? all : reliable;
  }

  private List<Worker> usable(Task task, long now) {
    List<Worker> candidates = new ArrayList<>();
    for (Worker worker : workers.all()) {
      if (worker.isUsable(now)
          && worker.info().capacity().covers(task.spec().need())
          && WorkerSelector.canRun(task, worker, now)) {
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
