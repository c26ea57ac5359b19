package org.marjoramhoist.experiment;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.dispatch.DispatchAction;
import org.marjoramhoist.dispatch.DispatchEvent.JobCallReceived;
import org.marjoramhoist.dispatch.JobCallKind;
import org.marjoramhoist.dispatch.JobCallResult;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/**
 * The callers of durable jobs, who hold the leader to what it told them.
 *
 * <p>Confined to one thread.
 */
final class DurableCallers {

  private static final long MICROS_PER_MILLI = 1_000;

  private final VirtualJobStore store;
  private final Map<Long, JobCallReceived> open = new LinkedHashMap<>();
  private final Set<JobId> accepted = new HashSet<>();
  private final Set<JobId> refused = new HashSet<>();
  private final Set<JobId> cancelled = new HashSet<>();
  private final Set<TaskRef> settled = new HashSet<>();
  private final Map<TaskRef, Integer> starts = new HashMap<>();

  /** How often the task of a run that ended as done had been started by then. */
  private final Map<RunRef, Integer> startsAtEnd = new HashMap<>();

  private long lastCall;

  DurableCallers(VirtualJobStore store) {
    this.store = store;
  }

  /** Returns a call that hands a job in. */
  JobCallReceived submit(DispatchFleet.Offered job, String entry) {
    long millis = job.arrivedAt() / MICROS_PER_MILLI;
    StoredJob record = new StoredJob(job.job(), job.requestClass(), millis);
    return add(
        new JobCallReceived(
            JobCallKind.SUBMIT, job.job().id(), record, entry, ++lastCall, job.arrivedAt()));
  }

  /** Returns a call that cancels a job. */
  JobCallReceived cancel(JobId id, String entry, long now) {
    return add(new JobCallReceived(JobCallKind.CANCEL, id, null, entry, ++lastCall, now));
  }

  private JobCallReceived add(JobCallReceived call) {
    open.put(call.call(), call);
    return call;
  }

  /** Returns the calls that have no answer yet, as an entry host sends them to a new leader. */
  List<JobCallReceived> calls() {
    return List.copyOf(open.values());
  }

  /** Takes in an answer and checks it against the store. */
  void replied(DispatchAction.Reply reply, List<String> breaches) {
    JobCallReceived call = open.remove(reply.call());
    if (call == null) {
      return;
    }
    if (call.kind() == JobCallKind.SUBMIT && reply.result() == JobCallResult.DONE) {
      accepted.add(call.job());
      if (!store.holds(call.job())) {
        breaches.add("job " + call.job() + " was accepted before it was stored");
      }
    } else if (call.kind() == JobCallKind.SUBMIT) {
      refused.add(call.job());
      if (store.holds(call.job())) {
        breaches.add("job " + call.job() + " was refused though it is stored");
      }
    } else if (call.kind() == JobCallKind.CANCEL && reply.result() == JobCallResult.DONE) {
      cancelled.add(call.job());
      if (!store.status(call.job()).orElseThrow().isTerminal()) {
        breaches.add("job " + call.job() + " was told cancelled before that was stored");
      }
    }
  }

  /** Takes in that a run began. */
  void began(RunRef run, List<String> breaches) {
    JobId job = run.task().job();
    starts.merge(run.task(), 1, Integer::sum);
    if (settled.contains(run.task())) {
      breaches.add("task " + run.task() + " begins again after its end was taken note of");
    }
    if (refused.contains(job)) {
      breaches.add("task " + run.task() + " begins though its job was refused");
    }
    if (cancelled.contains(job)) {
      breaches.add("task " + run.task() + " begins though its job is cancelled");
    }
  }

  /** Takes in that a run ended. */
  void ended(RunRef run, RunOutcome how) {
    if (how == RunOutcome.DONE) {
      startsAtEnd.put(run, starts.get(run.task()));
    }
  }

  /**
   * Takes in that the leader took note of an end.
   *
   * @param lapsed whether the worker's lease has lapsed since that end
   */
  void forgotten(RunRef run, RunOutcome how, boolean lapsed, List<String> breaches) {
    if (how != RunOutcome.DONE || !store.holds(run.task().job())) {
      return;
    }
    settled.add(run.task());
    if (!lapsed && starts.get(run.task()) > startsAtEnd.get(run)) {
      breaches.add("task " + run.task() + " began again after the end of " + run + ", now noted");
    }
  }

  /** Returns the jobs that were accepted. */
  Set<JobId> accepted() {
    return accepted;
  }

  /** Returns the jobs that were accepted and whose stored status is not final. */
  List<JobId> unfinished() {
    return accepted.stream()
        .filter(id -> !store.status(id).orElseThrow().isTerminal())
        .sorted((a, b) -> a.value().compareTo(b.value()))
        .toList();
  }

  /** Returns the stored status of an accepted job. */
  JobStatus status(JobId id) {
    return store.status(id).orElseThrow();
  }

  /** Counts the accepted jobs with a stored status. */
  long count(JobStatus status) {
    return accepted.stream().filter(id -> store.status(id).orElseThrow() == status).count();
  }
}
