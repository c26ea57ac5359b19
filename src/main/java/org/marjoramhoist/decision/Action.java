package org.marjoramhoist.decision;

import java.util.List;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.model.AttemptId;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TaskSpec;
import org.marjoramhoist.resource.WorkerSpec;

/**
 * An effect that the decisions ask an adapter for.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface Action {

  /** Answers a caller's request. */
  record Reply(long request, JobAnswer answer) implements Action {}

  /** Sends a message to a host; it may be lost. */
  record Send(HostId to, PeerMessage message) implements Action {}

  /**
   * Starts a task on a worker.
   *
   * @param attempt the attempt, never used before
   * @param worker the worker
   * @param job the job of the task
   * @param task the task
   * @param leaseDeadline when the worker must have stopped it, in microseconds since the epoch
   */
  record Start(AttemptId attempt, WorkerSpec worker, JobSpec job, TaskSpec task, long leaseDeadline)
      implements Action {}

  /** Tells a worker that the result of an attempt is not wanted any more. */
  record Abort(AttemptId attempt, WorkerSpec worker) implements Action {}

  /**
   * Asks a worker over a new connection what became of an attempt, bars a later start, and renews
   * the lease of one that runs.
   *
   * @param startedAt when the attempt was sent, in microseconds since the epoch
   * @param leaseDeadline the renewed lease, in microseconds since the epoch
   */
  record Settle(AttemptId attempt, WorkerSpec worker, long startedAt, long leaseDeadline)
      implements Action {}

  /** Reads a shard's record, and its logged claims if asked to. */
  record ReadShard(String shard, boolean withClaims) implements Action {}

  /** What a change of a shard's record does to the claims that are logged in the store. */
  enum LogChange {
    /** The logged claims stay. */
    KEEP,
    /** The logged claims are dropped; the members hold them. */
    DROP,
    /** The given claims take the place of the logged ones. */
    REPLACE
  }

  /**
   * Changes a shard's record if it still has the expected revision.
   *
   * @param shard the shard
   * @param expectedRevision the store revision of the record's last change; 0 if it must be absent
   * @param record the new record
   * @param logChange what happens to the logged claims, in the same transaction
   * @param logged the claims to log; empty unless they replace the logged ones
   */
  record WriteShard(
      String shard,
      long expectedRevision,
      ShardRecord record,
      LogChange logChange,
      List<ClaimEntry> logged)
      implements Action {}

  /**
   * Logs claims of a shard that has no standby, if its record still has the expected revision.
   *
   * @param shard the shard
   * @param expectedRevision the store revision of the record's last change
   * @param epoch the epoch of the record
   * @param batch the number of the batch, unique within the epoch
   * @param entries the claims
   * @param replacesEarlier whether the batch stands for all earlier ones, which are dropped
   */
  record LogClaims(
      String shard,
      long expectedRevision,
      long epoch,
      long batch,
      List<ClaimEntry> entries,
      boolean replacesEarlier)
      implements Action {}

  /** Watches the configuration in the store, or stops to. */
  record WatchConfig(boolean on, long sinceRevision) implements Action {}

  /** Writes a batch of accounts; the same sequence number always has the same rows. */
  record WriteAccounts(long seq, List<AccountEntry> rows, boolean last) implements Action {}

  /** Records the response of an ended job for the histograms. */
  record Observe(JobObservation observation) implements Action {}

  /** Counts a wasted message. */
  record CountWaste(Waste kind) implements Action {}

  /** Writes a log event. */
  record Log(LogEvent event, String detail) implements Action {}

  /** Says that a configuration is in force. */
  record ConfigInForce(ConfigView view) implements Action {}

  /** Answers a request for a ticket. */
  record ReplyTicket(long request, SubmissionId ticket) implements Action {}

  /** Answers a request for the state of the host. */
  record ReplyStatus(long request, HostStatus status) implements Action {}

  /** Connects to a host that another one has named. */
  record Dial(String address) implements Action {}

  /** Says that nothing is left to do at a draining host. */
  record Drained() implements Action {}
}
