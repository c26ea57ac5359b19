package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.marjoramhoist.dispatch.WorkerLoss.Evidence;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.TaskRef;

/**
 * The tasks that were running on workers when these were lost. Entries outlive their jobs for a
 * time, as a caller may submit the same job again.
 *
 * <p>Invariant: what is held against a task is withdrawn once its worker turns out to be alive.
 * Confined to one thread.
 */
final class SuspectTasks {

  /** How long a loss is remembered for a job that is not open. */
  private static final long RETENTION_MICROS = 60_000_000;

  /** Runs that a worker started less than this before its last one are as likely a cause. */
  private static final long LATEST_MICROS = 50_000;

  private final Map<TaskRef, TaskLosses> tasks = new LinkedHashMap<>();

  /**
   * Records that a run was lost with its worker; returns what is now held against its task.
   *
   * @param exclusive whether nothing but the task can have ended the worker
   */
  TaskLosses runLost(Run run, boolean exclusive, Evidence evidence, long now) {
    TaskLosses losses = lossesOf(run.task.ref);
    losses.add(
        new WorkerLoss(run.ref.number(), run.worker.id(), exclusive, isAmongLatest(run), evidence),
        now);
    run.task.losses = losses;
    return losses;
  }

  private TaskLosses lossesOf(TaskRef ref) {
    return tasks.computeIfAbsent(ref, TaskLosses::new);
  }

  private static boolean isAmongLatest(Run run) {
    return run.worker.runs.values().stream()
        .noneMatch(each -> each.orderedAt - run.orderedAt > LATEST_MICROS);
  }

  /**
   * Gives the tasks of a job what is held against them, by this leader or stored by earlier ones.
   */
  void attach(Job job, Collection<JobProgress.LostRuns> stored, long now) {
    // Tasks share the stored values, whose order is that of none of them.
    List<JobProgress.LostRuns> oldestFirst =
        stored.stream().sorted(Comparator.comparingInt(each -> each.loss().run())).toList();
    for (JobProgress.LostRuns each : oldestFirst) {
      each.tasks()
          .forEach(
              index -> lossesOf(new TaskRef(job.id(), each.step(), index)).add(each.loss(), now));
    }
    for (TaskLosses losses : tasks.values()) {
      TaskRef ref = losses.task();
      Task task = ref.job().equals(job.id()) ? job.task(ref.step(), ref.index()) : null;
      if (task != null) {
        task.losses = losses;
      }
    }
  }

  /** Clears a task that has completed. */
  void taskDone(Task task) {
    if (task.losses != null) {
      tasks.remove(task.ref);
      task.losses = null;
    }
  }

  /** Records that a worker's process ended; returns the tasks whose losses are concerned. */
  List<TaskLosses> workerCrashed(String worker) {
    return changed(losses -> losses.workerCrashed(worker));
  }

  /** Records that a worker has not crashed; returns the tasks whose losses are concerned. */
  List<TaskLosses> workerAnswered(String worker) {
    return changed(losses -> losses.workerAnswered(worker));
  }

  private List<TaskLosses> changed(Predicate<TaskLosses> change) {
    return tasks.values().stream().filter(change).toList();
  }

  /** Returns the losses whose cause is not known. */
  List<WorkerLoss> unexplained() {
    List<WorkerLoss> unexplained = new ArrayList<>();
    for (TaskLosses losses : tasks.values()) {
      losses.all().stream()
          .filter(loss -> loss.evidence() != Evidence.CRASHED)
          .forEach(unexplained::add);
    }
    return unexplained;
  }

  /**
   * Clears the other tasks of the workers that a task has crashed; returns those whose losses are
   * concerned.
   */
  List<TaskLosses> causeFound(TaskLosses cause) {
    Set<String> workers = cause.crashedWorkers();
    return changed(losses -> losses != cause && losses.withdraw(workers));
  }

  /** Returns what is held against each task. */
  List<TaskLosses> all() {
    return List.copyOf(tasks.values());
  }

  /** Counts the tasks that may be run in a certain way only. */
  int count(TaskLosses.Handling handling, long now) {
    return (int) tasks.values().stream().filter(each -> each.handling(now) == handling).count();
  }

  /** Removes entries without losses, and old ones of jobs that are not open. */
  void prune(Predicate<JobId> isOpen, long now) {
    tasks
        .values()
        .removeIf(
            losses ->
                !isOpen.test(losses.task().job())
                    && (losses.isEmpty() || now - losses.lastLossAt() > RETENTION_MICROS));
  }
}
