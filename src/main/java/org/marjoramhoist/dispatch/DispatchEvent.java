package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.RunRef;

/**
 * What a leader's decisions hear. Immutable and safe for use by several threads.
 *
 * <p>All times are in microseconds on the host's steady clock.
 */
public sealed interface DispatchEvent {

  /**
   * A job was handed in, or handed on by an entry host after a change of leader.
   *
   * @param job the job
   * @param requestClass its class, as the entry host's configuration has it
   * @param entry the entry host that waits for the end
   * @param arrivedAt when the caller's request came in
   * @param deadline when the caller stops waiting
   * @param generation how many leaders were given the job before this one
   * @param origin the failure domain of the entry host; empty if it is not known
   */
  record JobSubmitted(
      JobDescription job,
      RequestClass requestClass,
      String entry,
      long arrivedAt,
      long deadline,
      int generation,
      String origin)
      implements DispatchEvent {

    /** Creates an event of a host whose failure domain is not known. */
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

  /** An entry host no longer waits for a job, or its caller cancelled it. */
  record JobWithdrawn(JobId job, String entry) implements DispatchEvent {}

  /** An entry host is gone, and with it the callers that it served. */
  record EntryHostLost(String entry) implements DispatchEvent {}

  /**
   * This leader's term ends while its entry hosts live on: all jobs are given up, those without a
   * started task as not run.
   *
   * @param reason why, for the answers
   */
  record TermEnded(String reason) implements DispatchEvent {}

  /**
   * This leader of a failure domain stops and another host is to lead: jobs without a started task
   * are refused, those with a task left to start given up, and the rest looked after.
   *
   * @param reason why, for the answers
   */
  record HandOverStarted(String reason) implements DispatchEvent {}

  /**
   * The leader of the failure domain before this one has handed over.
   *
   * @param retainedJobs the jobs that it may still have runs of
   */
  record PredecessorHandedOver(Set<JobId> retainedJobs) implements DispatchEvent {
    /** Creates an event with a copy of the set. */
    public PredecessorHandedOver {
      retainedJobs = Set.copyOf(retainedJobs);
    }
  }

  /** Something was heard of a worker, or nothing was when something should have been. */
  sealed interface WorkerEvent extends DispatchEvent {
    /** Returns the worker's id. */
    String worker();
  }

  /** The list of workers was read. */
  record WorkersListed(List<WorkerInfo> workers) implements DispatchEvent {}

  /**
   * A worker answered a renewal.
   *
   * @param worker its id
   * @param sentAt when the renewal was sent
   * @param report what it said; empty if another worker or life of it answered
   */
  record RenewalAnswered(String worker, long sentAt, Optional<WorkerReport> report)
      implements WorkerEvent {}

  /** A renewal got no answer. */
  record RenewalFailed(String worker) implements WorkerEvent {}

  /**
   * A worker answered an order to start.
   *
   * @param worker its id
   * @param run the run
   * @param sentAt when the order was sent
   * @param reply what it said
   */
  record StartAnswered(String worker, RunRef run, long sentAt, StartReply reply)
      implements WorkerEvent {}

  /**
   * An order to start got no answer.
   *
   * @param mayRun whether the order may have been carried out, or may still be
   */
  record StartUnanswered(String worker, RunRef run, boolean mayRun) implements WorkerEvent {}

  /**
   * An order to stop ended.
   *
   * @param answered whether the worker confirmed it
   */
  record StopEnded(String worker, RunRef run, boolean answered) implements WorkerEvent {}

  /**
   * A call about a durable job came in.
   *
   * @param kind what is asked
   * @param job the job
   * @param record what is to be stored of the job, if it is handed in; otherwise null
   * @param entry the entry host that asks
   * @param call the number that it gave the call
   * @param arrivedAt when the caller's request came in
   */
  record JobCallReceived(
      JobCallKind kind, JobId job, StoredJob record, String entry, long call, long arrivedAt)
      implements DispatchEvent {}

  /**
   * What earlier leaders stored of durable jobs was read; nobody else can change it any more.
   *
   * @param ordinal counts the terms that changed stored jobs, from 1
   * @param open the jobs that have not ended
   * @param ended the jobs that have
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
   * @param status how it ended
   * @param endedMillis when, in milliseconds since 1970
   */
  record EndedJob(JobId id, JobStatus status, long endedMillis) {}

  /**
   * A stored job that has not ended.
   *
   * @param record what was stored when it was accepted
   * @param progress what was stored later; empty if nothing was or it can't be read
   * @param progressReadable whether what was stored later, if anything, can be read
   */
  record LoadedJob(StoredJob record, Optional<JobProgress> progress, boolean progressReadable) {
    /** Creates a job all of which can be read. */
    public LoadedJob(StoredJob record, Optional<JobProgress> progress) {
      this(record, progress, true);
    }
  }

  /** A batch is stored. */
  record BatchStored(long number) implements DispatchEvent {}

  /**
   * The roster that earlier leaders stored was read; nobody else can change it any more.
   *
   * @param workers all workers that an earlier leader may have given work
   */
  record RosterLoaded(List<WorkerInfo> workers) implements DispatchEvent {
    /** Creates an event with a copy of the list. */
    public RosterLoaded {
      workers = List.copyOf(workers);
    }
  }

  /** A change of the roster is stored. */
  record RosterStored(long number) implements DispatchEvent {}

  /**
   * Whether new runs may be started has changed. Runs at work are looked after in either case.
   *
   * @param allowed false while another leader may have been elected
   */
  record StartsAllowed(boolean allowed) implements DispatchEvent {}

  /**
   * The failure domains that the operator drains are known, or have changed. Nothing is started
   * before the first such event.
   *
   * @param domains the domains on whose workers nothing may be started
   */
  record DomainsDrained(Set<String> domains) implements DispatchEvent {
    /** Creates an event with a copy of the set. */
    public DomainsDrained {
      domains = Set.copyOf(domains);
    }
  }

  /** Time has passed. */
  record Tick() implements DispatchEvent {}
}
