package org.marjoramhoist.experiment;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/**
 * The tasks that end the process of each worker that starts them, and how often they did.
 *
 * <p>Confined to one thread.
 */
final class CrashingTasks {

  /** After so many crashes a task may be started only a few times more. */
  private static final int CRASHES = 3;

  /** The start, counted from the last of these crashes, that is one too many. */
  private static final int STARTS_AFTER = 3;

  private final Set<TaskRef> tasks = new HashSet<>();
  private final Set<JobId> jobs = new HashSet<>();
  private final Map<TaskRef, Integer> crashes = new HashMap<>();
  private final Map<TaskRef, Integer> startsAfter = new HashMap<>();
  private final Map<TaskRef, Integer> endedWorkers = new HashMap<>();

  /** Makes a task crash its workers. */
  void add(TaskRef task) {
    tasks.add(task);
    jobs.add(task.job());
  }

  boolean contains(TaskRef task) {
    return tasks.contains(task);
  }

  /** Returns the jobs that hold such a task. */
  Set<JobId> jobs() {
    return jobs;
  }

  /** Takes in that the process of a worker with a run of any task ended. */
  void workerEnded(TaskRef task) {
    endedWorkers.merge(task, 1, Integer::sum);
  }

  /** Returns how many workers' processes ended at most under any task of a job. */
  int endedWorkers(JobId job) {
    return endedWorkers.entrySet().stream()
        .filter(each -> each.getKey().job().equals(job))
        .mapToInt(Map.Entry::getValue)
        .max()
        .orElse(0);
  }

  /** Takes in that a run of such a task began. */
  void began(RunRef run, List<String> breaches) {
    if (crashes.getOrDefault(run.task(), 0) >= CRASHES
        && startsAfter.merge(run.task(), 1, Integer::sum) >= STARTS_AFTER) {
      breaches.add("task " + run.task() + " begins again as " + run + " after it crashed workers");
    }
  }

  /** Takes in that a task ended its worker's process. */
  void crashed(TaskRef task) {
    crashes.merge(task, 1, Integer::sum);
  }
}
