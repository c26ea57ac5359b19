package org.marjoramhoist.dispatch;

import java.util.Map;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.SubmissionNumber;
import org.marjoramhoist.log.LogEvent;

/** An action that a leader's dispatcher requests. Immutable and safe for use by several threads. */
public sealed interface DispatchAction {

  /**
   * Orders a worker to start a run.
   *
   * @param worker the worker
   * @param run the run
   * @param payload the job's payload
   * @param leaseUntilMillis the end of the lease, on the worker's clock
   */
  record Start(WorkerInfo worker, RunRef run, String payload, long leaseUntilMillis)
      implements DispatchAction {}

  /** Orders a worker to stop a run. */
  record Stop(WorkerInfo worker, RunRef run) implements DispatchAction {}

  /**
   * Renews the lease of all runs on a worker and requests a report.
   *
   * @param worker the worker
   * @param acknowledged the sequence number of the last completion that the worker may discard
   * @param leaseUntilMillis the end of the lease, on the worker's clock; 0 to leave the lease
   *     unchanged
   * @param waitMillis how long the worker may wait for a completion before it answers
   */
  record Renew(WorkerInfo worker, long acknowledged, long leaseUntilMillis, long waitMillis)
      implements DispatchAction {}

  /**
   * Notifies entry hosts of a job's outcome.
   *
   * @param job the job
   * @param entries the entry hosts waiting for the job, with the number of the last submission of
   *     each one
   * @param outcome the outcome
   * @param reason the reason for the outcome, for logs and responses
   * @param retryAfterMillis the delay after which a refused caller may retry; 0 if there is no
   *     recommendation
   */
  record Finish(
      JobId job,
      Map<String, SubmissionNumber> entries,
      JobOutcome outcome,
      String reason,
      long retryAfterMillis)
      implements DispatchAction {}

  /**
   * Stores changes of durable jobs. Completion is reported by {@link DispatchEvent.BatchStored}, a
   * refusal by {@link DispatchEvent.BatchRefused}.
   */
  record Store(JournalBatch batch) implements DispatchAction {}

  /**
   * Stores a change of the worker roster. Completion is reported by {@link
   * DispatchEvent.RosterStored}.
   */
  record StoreRoster(RosterChange change) implements DispatchAction {}

  /**
   * Answers a call about a durable job.
   *
   * @param entry the entry host that sent the call
   * @param call the call number assigned by the entry host
   * @param result the result of the call
   * @param status the status of the job; null if there is none to report
   * @param retryAfterMillis the delay after which a refused caller may retry; 0 if there is no
   *     recommendation
   * @param sentCount how many times the call was sent as it was received
   */
  record Reply(
      String entry,
      long call,
      JobCallResult result,
      JobStatus status,
      long retryAfterMillis,
      int sentCount)
      implements DispatchAction {

    /** Creates the reply to a call without a recommendation when to retry. */
    Reply(DispatchEvent.JobCallReceived call, JobCallResult result, JobStatus status) {
      this(call.entry(), call.call(), result, status, 0, call.sentCount());
    }
  }

  /**
   * Requests that the leader step down, for example because a worker has seen a higher fencing
   * token.
   */
  record StepDown(String reason) implements DispatchAction {}

  /** Writes a log event. */
  record Log(LogEvent event, String detail) implements DispatchAction {}
}
