package org.marjoramhoist.dispatch;

import java.util.Set;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.log.LogEvent;

/** What a leader's decisions ask for. Immutable and safe for use by several threads. */
public sealed interface DispatchAction {

  /**
   * Order a worker to start a run.
   *
   * @param worker the worker
   * @param run the run
   * @param payload the job's payload
   * @param leaseUntilMillis the end of the lease, on the worker's clock
   */
  record Start(WorkerInfo worker, RunRef run, String payload, long leaseUntilMillis)
      implements DispatchAction {}

  /** Order a worker to stop a run. */
  record Stop(WorkerInfo worker, RunRef run) implements DispatchAction {}

  /**
   * Renew the lease of all that runs on a worker and ask what it runs.
   *
   * @param worker the worker
   * @param acknowledged the number of the last end taken in
   * @param leaseUntilMillis the end of the lease, on the worker's clock; 0 renews nothing
   * @param waitMillis how long the worker may wait for an end
   */
  record Renew(WorkerInfo worker, long acknowledged, long leaseUntilMillis, long waitMillis)
      implements DispatchAction {}

  /**
   * Tell entry hosts how a job ended.
   *
   * @param job the job
   * @param entries the entry hosts that wait for it
   * @param outcome how it ended
   * @param reason why, for the logs and the answer
   * @param retryAfterMillis when a refused caller may come back; 0 if that says nothing
   */
  record Finish(
      JobId job, Set<String> entries, JobOutcome outcome, String reason, long retryAfterMillis)
      implements DispatchAction {}

  /** Store changes of durable jobs; {@link DispatchEvent.BatchStored} tells when it is done. */
  record Store(JournalBatch batch) implements DispatchAction {}

  /** Store a change of the roster; {@link DispatchEvent.RosterStored} tells when it is done. */
  record StoreRoster(RosterChange change) implements DispatchAction {}

  /**
   * Answer a call about a durable job.
   *
   * @param entry the entry host that asked
   * @param call the number that it gave the call
   * @param result what became of it
   * @param status the job's status, if there is such a job
   * @param retryAfterMillis when a refused caller may come back; 0 if that says nothing
   */
  record Reply(
      String entry, long call, JobCallResult result, JobStatus status, long retryAfterMillis)
      implements DispatchAction {}

  /** Stop leading, since a worker has seen a higher fencing token. */
  record StepDown(String reason) implements DispatchAction {}

  /** Write a log event. */
  record Log(LogEvent event, String detail) implements DispatchAction {}
}
