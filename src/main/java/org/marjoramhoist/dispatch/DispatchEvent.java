package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.SubmissionNumber;

/**
 * An input event of a leader's dispatcher. Immutable and safe for use by several threads.
 *
 * <p>All times are in microseconds on the host's monotonic clock.
 */
public sealed interface DispatchEvent {

  /**
   * A job was submitted by a caller, or resubmitted by an entry host after a leader change.
   *
   * @param job the job
   * @param requestClass the request class, from the entry host's configuration
   * @param entry the entry host that waits for the outcome
   * @param arrivedAt when the caller's request arrived
   * @param deadline when the caller stops waiting
   * @param generation the number of previous leaders that the job was submitted to
   * @param origin the failure domain of the entry host; empty if unknown
   * @param number the number of the submission, by which the entry host matches the outcome
   * @param heardAt when this leader sent the last heartbeat that the entry host had received
   */
  record JobSubmitted(
      JobDescription job,
      RequestClass requestClass,
      String entry,
      long arrivedAt,
      long deadline,
      int generation,
      String origin,
      SubmissionNumber number,
      long heardAt)
      implements DispatchEvent {

    /** Creates an event of a submission without a number that was sent after all heartbeats. */
    public JobSubmitted(
        JobDescription job,
        RequestClass requestClass,
        String entry,
        long arrivedAt,
        long deadline,
        int generation,
        String origin) {
      this(
          job,
          requestClass,
          entry,
          arrivedAt,
          deadline,
          generation,
          origin,
          SubmissionNumber.NONE,
          Long.MAX_VALUE);
    }

    /** Creates an event for an entry host whose failure domain is unknown. */
    public JobSubmitted(
        JobDescription job,
        RequestClass requestClass,
        String entry,
        long arrivedAt,
        long deadline,
        int generation) {
      this(job, requestClass, entry, arrivedAt, deadline, generation, "");
    }
  }

  /**
   * An entry host no longer waits for a job.
   *
   * @param job the job
   * @param entry the entry host
   * @param cancelled whether the caller cancelled the job, at whichever host
   */
  record JobWithdrawn(JobId job, String entry, boolean cancelled) implements DispatchEvent {

    /** Creates an event of a job that was not cancelled. */
    public JobWithdrawn(JobId job, String entry) {
      this(job, entry, false);
    }
  }

  /**
   * An entry host has found the leader anew. It has submitted again all jobs that it still waits
   * for; it may have ended others without being able to withdraw them.
   *
   * @param entry the entry host
   * @param since when the heartbeat was sent by which it found the leader
   */
  record EntryHostReconnected(String entry, long since) implements DispatchEvent {}

  /** An entry host was lost, together with the callers connected to it. */
  record EntryHostLost(String entry) implements DispatchEvent {}

  /**
   * The leader's term ended while its entry hosts continue to run. All jobs are ended: those with a
   * started task as abandoned, the others as refused.
   *
   * @param reason the reason, for responses
   */
  record TermEnded(String reason) implements DispatchEvent {}

  /**
   * The leader of a failure domain started to hand over leadership to another host. Jobs without a
   * started task are refused, jobs with tasks left to start are abandoned, and the remaining jobs
   * run to completion.
   *
   * @param reason the reason, for responses
   */
  record HandOverStarted(String reason) implements DispatchEvent {}

  /**
   * The previous leader of the failure domain handed over its leadership.
   *
   * @param retainedJobs the jobs that may still have runs started by the previous leader
   * @param workersInUse the workers on which the previous leader found no lease of another leader
   */
  record PredecessorHandedOver(Set<JobId> retainedJobs, Set<String> workersInUse)
      implements DispatchEvent {
    /** Creates an event with copies of the sets. */
    public PredecessorHandedOver {
      retainedJobs = Set.copyOf(retainedJobs);
      workersInUse = Set.copyOf(workersInUse);
    }
  }

  /**
   * The failure domains whose workers another leader may be using have changed. No task may be
   * started there on a worker that would start it beyond its capacity.
   *
   * @param domains the names of these failure domains
   */
  record DomainsShared(Set<String> domains) implements DispatchEvent {
    /** Creates an event with a copy of the set. */
    public DomainsShared {
      domains = Set.copyOf(domains);
    }
  }

  /** A response from a worker, or a missing response. */
  sealed interface WorkerEvent extends DispatchEvent {
    /** Returns the id of the worker. */
    String worker();
  }

  /** The worker list was read. */
  record WorkersListed(List<WorkerInfo> workers) implements DispatchEvent {}

  /**
   * A worker answered a renewal.
   *
   * @param worker the worker's id
   * @param sentAt when the renewal was sent
   * @param report the report; empty if it came from another worker or another incarnation of the
   *     worker
   */
  record RenewalAnswered(String worker, long sentAt, Optional<WorkerReport> report)
      implements WorkerEvent {}

  /** A renewal was not answered. */
  record RenewalFailed(String worker, CallFailure failure) implements WorkerEvent {

    /** Creates the event of a renewal after which nothing was heard. */
    public RenewalFailed(String worker) {
      this(worker, CallFailure.SILENT);
    }
  }

  /**
   * A worker answered a start order.
   *
   * @param worker the worker's id
   * @param run the run
   * @param sentAt when the start order was sent
   * @param reply the reply
   */
  record StartAnswered(String worker, RunRef run, long sentAt, StartReply reply)
      implements WorkerEvent {}

  /**
   * A start order was not answered.
   *
   * @param worker the worker's id
   * @param run the run
   * @param mayRun whether the worker may have executed the order, or may still execute it
   * @param failure why there was no answer
   * @param reason what the failed call tells of it
   */
  record StartUnanswered(
      String worker, RunRef run, boolean mayRun, CallFailure failure, String reason)
      implements WorkerEvent {}

  /**
   * A stop order was answered or failed.
   *
   * @param answered whether the worker confirmed the order
   */
  record StopEnded(String worker, RunRef run, boolean answered) implements WorkerEvent {}

  /**
   * A call about a durable job was received.
   *
   * @param kind the kind of call
   * @param job the job
   * @param record the job record to store if the call submits a job; otherwise null
   * @param entry the entry host that sent the call
   * @param call the call number assigned by the entry host
   * @param arrivedAt when the caller's request arrived
   * @param sentCount how many times the entry host sent the call, this time included
   * @param heardAt when this leader sent the last heartbeat that the entry host had received
   */
  record JobCallReceived(
      JobCallKind kind,
      JobId job,
      StoredJob record,
      String entry,
      long call,
      long arrivedAt,
      int sentCount,
      long heardAt)
      implements DispatchEvent {

    /** Creates the event of a call that was sent once, after all heartbeats. */
    public JobCallReceived(
        JobCallKind kind, JobId job, StoredJob record, String entry, long call, long arrivedAt) {
      this(kind, job, record, entry, call, arrivedAt, 1, Long.MAX_VALUE);
    }
  }

  /**
   * The durable jobs stored by previous leaders were loaded. No other leader can change them from
   * now on.
   *
   * @param ordinal the number of the term among those that wrote stored jobs, starting at 1
   * @param open the jobs that have not ended
   * @param ended the jobs that have ended
   */
  record JobsLoaded(int ordinal, List<LoadedJob> open, List<EndedJob> ended)
      implements DispatchEvent {
    /** Creates an event with copies of the lists. */
    public JobsLoaded {
      open = List.copyOf(open);
      ended = List.copyOf(ended);
    }
  }

  /**
   * A stored job that has ended.
   *
   * @param id the job
   * @param status the final status
   * @param endedMillis when the job ended, in milliseconds since the epoch
   */
  record EndedJob(JobId id, JobStatus status, long endedMillis) {}

  /**
   * A stored job that has not ended.
   *
   * @param record the record stored when the job was accepted
   * @param progress the progress stored later; empty if there is none or it is unreadable
   * @param progressReadable false if stored progress exists but is unreadable
   */
  record LoadedJob(StoredJob record, Optional<JobProgress> progress, boolean progressReadable) {
    /** Creates a job whose stored data is readable. */
    public LoadedJob(StoredJob record, Optional<JobProgress> progress) {
      this(record, progress, true);
    }
  }

  /** A journal batch was stored. */
  record BatchStored(long number) implements DispatchEvent {}

  /**
   * The store refused a journal batch for what it contains, and would do so again; nothing of it is
   * stored.
   *
   * @param reason what the store said, for logs
   */
  record BatchRefused(long number, String reason) implements DispatchEvent {}

  /**
   * The worker roster stored by previous leaders was loaded. No other leader can change it from now
   * on.
   *
   * @param workers all workers that a previous leader may have assigned work to
   */
  record RosterLoaded(List<WorkerInfo> workers) implements DispatchEvent {
    /** Creates an event with a copy of the list. */
    public RosterLoaded {
      workers = List.copyOf(workers);
    }
  }

  /** A change of the worker roster was stored. */
  record RosterStored(long number) implements DispatchEvent {}

  /**
   * The permission to start new runs changed. Existing runs are managed in either case.
   *
   * @param allowed false while another leader may have been elected
   */
  record StartsAllowed(boolean allowed) implements DispatchEvent {}

  /**
   * The set of drained failure domains was loaded or has changed. No run is started before the
   * first such event.
   *
   * @param domains the domains on whose workers no run may be started
   */
  record DomainsDrained(Set<String> domains) implements DispatchEvent {
    /** Creates an event with a copy of the set. */
    public DomainsDrained {
      domains = Set.copyOf(domains);
    }
  }

  /** A periodic timer event. */
  record Tick() implements DispatchEvent {}
}
