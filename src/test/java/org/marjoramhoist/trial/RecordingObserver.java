package org.marjoramhoist.trial;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.experiment.LeasedWorker;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/**
 * Records the failure domains in which runs start, and tasks with several runs at the same time.
 */
final class RecordingObserver implements LeasedWorker.Observer {

  /** Runs that started while another run of the same task was running. */
  final Set<String> concurrentRuns = ConcurrentHashMap.newKeySet();

  /** The failure domains of the workers on which runs started. */
  final Set<String> usedDomains = ConcurrentHashMap.newKeySet();

  /** The number of current runs of each task. */
  final Map<TaskRef, Integer> runningCounts = new HashMap<>();

  private final Map<TaskRef, Integer> starts = new HashMap<>();
  private final Map<JobId, Instant> lastStarts = new HashMap<>();

  /** Returns how many runs of each task have started. */
  synchronized Map<TaskRef, Integer> startCounts() {
    return Map.copyOf(starts);
  }

  /** Returns when a task of each job was last started. */
  synchronized Map<JobId, Instant> lastStarts() {
    return Map.copyOf(lastStarts);
  }

  /** Returns the tasks of which a run has started. */
  synchronized Set<TaskRef> startedTasks() {
    return Set.copyOf(runningCounts.keySet());
  }

  @Override
  public synchronized void runStarted(LeasedWorker worker, RunRef run) {
    starts.merge(run.task(), 1, Integer::sum);
    lastStarts.put(run.task().job(), Instant.now());
    usedDomains.add(worker.info().failureDomain());
    if (runningCounts.merge(run.task(), 1, Integer::sum) > 1) {
      concurrentRuns.add(run.toString());
    }
  }

  @Override
  public synchronized void runEnded(LeasedWorker worker, RunRef run, RunOutcome outcome) {
    runningCounts.merge(run.task(), -1, Integer::sum);
  }
}
