package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.TaskLosses.Handling;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.log.LogEvent;

/**
 * Decides what the loss of workers means for the tasks that ran on them.
 *
 * <p>Invariant: nothing is held against a task for a worker that was shutting down, was only
 * silent, was lost together with others of its rack or failure domain, or ends again and again by
 * itself. Confined to one thread.
 */
final class WorkerLossHandler {

  /** How long a worker that refused connections is asked for what became of it. */
  private static final long SEARCH_MICROS = 10_000_000;

  /** How many workers near a lost one are asked for a report. */
  private static final long ASKED_NEIGHBOURS = 4;

  private final SuspectTasks suspects;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final RunController runs;
  private final DurableJobs durableJobs;
  private final JobFinisher jobFinisher;
  private final ProcessEnds ends;

  WorkerLossHandler(
      SuspectTasks suspects,
      JobRegistry jobs,
      WorkerRegistry workers,
      RunController runs,
      DurableJobs durableJobs,
      JobFinisher jobFinisher,
      ProcessEnds ends) {
    this.suspects = suspects;
    this.jobs = jobs;
    this.workers = workers;
    this.runs = runs;
    this.durableJobs = durableJobs;
    this.jobFinisher = jobFinisher;
    this.ends = ends;
  }

  /** Takes over what earlier leaders stored about the tasks of a job. */
  void jobLoaded(Job job, long now, List<DispatchAction> out) {
    suspects.attach(job, job.storedLosses(), now);
    job.storedLosses().forEach(lost -> seek(workers.find(lost.loss().worker()), now));
    reconsider(job, now, out);
  }

  /**
   * Handles that a worker refuses connections. Its losses are recorded before the leases of its
   * runs have expired, so that the next leader knows of them even if this one is lost as well.
   */
  void workerRefuses(Worker worker, long now, List<DispatchAction> out) {
    if (worker.info().draining()) {
      return;
    }
    askNeighbours(worker, now, out);
    if (!isLostWithOthers(worker, now, out)) {
      worker.runs.values().stream()
          .filter(run -> run.phase != Run.Phase.STARTING)
          .toList()
          .forEach(run -> suspect(run, now, out));
    }
  }

  /**
   * Asks workers near a lost one, of which nothing was heard since, for a report: at first a few,
   * which tell whether others are lost too, and all if they are, so that no task is started there.
   */
  private void askNeighbours(Worker lost, long now, List<DispatchAction> out) {
    boolean isNew = now - lost.failingSince() <= GroupContacts.SAME_TIME_MICROS;
    long few = isNew ? ASKED_NEIGHBOURS : 0;
    long count = lost.lostWithOthers ? Long.MAX_VALUE : few;
    workers.unheardNear(lost).stream()
        .limit(count)
        .forEach(each -> runs.renewals().requestReport(each, now, out));
  }

  /** Withdraws the losses of a worker if it was lost with others near it. */
  private boolean isLostWithOthers(Worker worker, long now, List<DispatchAction> out) {
    if (!workers.isLostWithOthers(worker, now)) {
      return false;
    }
    explain(worker.id(), false, now, out);
    return true;
  }

  /** Handles that a run is over as its worker was lost. */
  void runLost(Run run, long now, List<DispatchAction> out) {
    Worker worker = run.worker;
    if (!worker.info().draining() && !isLostWithOthers(worker, now, out)) {
      suspect(run, now, out);
    }
  }

  private void suspect(Run run, long now, List<DispatchAction> out) {
    TaskLosses before = run.task.losses;
    if (before != null && before.includes(run.ref.number())) {
      return;
    }
    // A worker that a task of its own has ended before is no worker that ends by itself.
    boolean endedUnderIt = before != null && before.includesWorker(run.worker.id());
    String address = run.worker.info().address();
    if (!endedUnderIt && ends.isUnreliableAt(address, run.orderedAt)) {
      return;
    }
    boolean endedLately = !endedUnderIt && ends.anyBefore(address, run.orderedAt);
    boolean exclusive = run.isExclusive() && !endedLately;
    TaskLosses losses = suspects.runLost(run, exclusive, run.worker.lossEvidence(run), now);
    Handling next = losses.handling(now);
    if (next == Handling.SHARED) {
      return;
    }
    seek(run.worker, now);
    Job job = run.task.job;
    out.add(
        new Log(
            LogEvent.TASK_SUSPECTED,
            RunController.describe(run) + " next=" + next + " losses=" + describe(losses)));
    durableJobs.recordLoss(job, now);
    if (jobs.find(job.id()) == job) {
      reconsider(job, now, out);
    }
  }

  private static void seek(Worker worker, long now) {
    if (worker != null) {
      worker.soughtUntil = now + SEARCH_MICROS;
    }
  }

  private List<String> describe(TaskLosses losses) {
    return losses.all().stream().map(workers::describeLoss).toList();
  }

  /** Withdraws the losses of workers that are gone without a refusal. */
  void tick(long now, List<DispatchAction> out) {
    for (WorkerLoss loss : suspects.unexplained()) {
      if (loss.evidence() == WorkerLoss.Evidence.SILENT && workers.isGone(loss.worker())) {
        explain(loss.worker(), false, now, out);
      }
    }
    suspects.prune(id -> jobs.find(id) != null, now);
  }

  private boolean explain(String worker, boolean crashed, long now, List<DispatchAction> out) {
    Worker known = workers.find(worker);
    if (known != null) {
      known.soughtUntil = 0;
    }
    List<TaskLosses> changed =
        crashed ? suspects.workerCrashed(worker) : suspects.workerAnswered(worker);
    reconsider(changed, now, out);
    return !changed.isEmpty();
  }

  /**
   * Handles a reply to a renewal, by the worker's process or by another one in its place.
   *
   * @param crashed whether its process has ended; otherwise it was only out of reach
   * @return whether that changes how any task may be run
   */
  boolean workerExplained(Worker worker, boolean crashed, long now, List<DispatchAction> out) {
    if (crashed) {
      ends.record(worker.info().address(), now);
    }
    return explain(worker.id(), crashed, now, out);
  }

  /** Decides again on the jobs of tasks, after what is held against these has changed. */
  private void reconsider(List<TaskLosses> changed, long now, List<DispatchAction> out) {
    for (TaskLosses losses : changed) {
      Job job = jobs.find(losses.task().job());
      if (job != null) {
        reconsider(job, now, out);
        durableJobs.recordProgress(job, now);
      }
    }
  }

  /**
   * Ends a job as failed if a task of it has proved to crash its workers, and as abandoned if a
   * task of it is held beyond the time that its caller waits: it may have run.
   */
  void reconsider(Job job, long now, List<DispatchAction> out) {
    for (TaskLosses losses : suspects.all()) {
      if (!losses.task().job().equals(job.id())) {
        continue;
      }
      TaskLosses.Handling handling = losses.handling(now);
      if (handling == Handling.GIVEN_UP) {
        jobFinisher.end(job, JobOutcome.FAILED, crashReason(losses), now, out);
        reconsider(suspects.causeFound(losses), now, out);
        return;
      }
      if (handling == Handling.HELD && !job.isDurable() && losses.heldUntil() > job.deadline) {
        jobFinisher.end(job, JobOutcome.ABANDONED, "its workers were lost", now, out);
        return;
      }
    }
  }

  private String crashReason(TaskLosses losses) {
    return "a task crashed "
        + losses.crashedWorkers().size()
        + " workers: "
        + losses.task()
        + " losses="
        + describe(losses);
  }
}
