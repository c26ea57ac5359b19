package org.marjoramhoist.trial;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.experiment.LeasedWorker;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/** Notes in which failure domains tasks begin, and tasks that run twice at the same time. */
final class StartsObserver implements LeasedWorker.Observer {

  /** Runs that began while another run of the same task was at work. */
  final Set<String> twice = ConcurrentHashMap.newKeySet();

  /** The failure domains of the workers on which runs began. */
  final Set<String> used = ConcurrentHashMap.newKeySet();

  /** How many runs of each task are at work. */
  final Map<TaskRef, Integer> running = new HashMap<>();

  @Override
  public synchronized void began(LeasedWorker worker, RunRef run) {
    used.add(worker.info().failureDomain());
    if (running.merge(run.task(), 1, Integer::sum) > 1) {
      twice.add(run.toString());
    }
  }

  @Override
  public synchronized void ended(LeasedWorker worker, RunRef run, RunOutcome how) {
    running.merge(run.task(), -1, Integer::sum);
  }
}
