package org.marjoramhoist.decision;

import java.util.List;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.model.AttemptId;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.resource.ResourceDoc;

/**
 * Something that happened and that the decisions must hear of.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface Event {

  /** Time has passed. */
  record Tick() implements Event {}

  /** A caller submits a job. */
  record Submitted(long request, JobSpec job) implements Event {}

  /** A caller asks for the answer to a submission. */
  record AnswerAsked(long request, SubmissionId id) implements Event {}

  /** A caller no longer waits for its request. */
  record WaitEnded(long request) implements Event {}

  /** A caller cancels a submission. */
  record CancelAsked(SubmissionId id, TeamId team) implements Event {}

  /** A worker has answered an attempt, or failed to. */
  record AttemptEnded(AttemptId attempt, Outcome outcome) implements Event {}

  /** A worker has answered a question about an attempt, or failed to. */
  record AttemptSettled(AttemptId attempt, Outcome outcome) implements Event {}

  /** A message of another host has arrived. */
  record Received(HostRef from, PeerMessage message) implements Event {}

  /** A connection to a host was made. */
  record LinkUp(HostRef host, String address, String domain) implements Event {}

  /** A caller asks for a ticket. */
  record TicketAsked(long request) implements Event {}

  /** Somebody asks for the state of the host. */
  record StatusAsked(long request) implements Event {}

  /** The connection to a host broke; what was sent on it may be lost. */
  record LinkLost(HostId host) implements Event {}

  /**
   * A shard's record was read.
   *
   * @param shard the shard
   * @param reached whether the store answered
   * @param record the record; null if it is absent
   * @param revision the store revision of its last change; 0 if it is absent
   * @param claims the logged claims; null if they were not asked for
   */
  record ShardRead(
      String shard, boolean reached, ShardRecord record, long revision, List<ClaimEntry> claims)
      implements Event {}

  /** What became of a conditional write. */
  enum WriteResult {
    /** The write took effect. */
    DONE,
    /** The condition did not hold; the write did not take effect. */
    REFUSED,
    /** Whether the write took effect, or still will, can't be told. */
    UNKNOWN
  }

  /** A shard's record was written, or not. */
  record ShardWritten(String shard, long epoch, WriteResult result, long revision)
      implements Event {}

  /** A batch of claims was logged, or not. */
  record ClaimsLogged(String shard, long epoch, long batch, WriteResult result) implements Event {}

  /**
   * The store holds another configuration.
   *
   * @param baseRevision the revision the change applies to; -1 if it holds the whole
   * @param revision the revision it leads to
   * @param changed resources that were added or changed
   * @param deleted keys of resources that were deleted
   */
  record ConfigSeen(
      long baseRevision, long revision, List<ResourceDoc> changed, List<String> deleted)
      implements Event {}

  /** The watch of the configuration ended. */
  record WatchLost() implements Event {}

  /** A batch of accounts was written, or not. */
  record AccountsWritten(long seq, boolean done) implements Event {}

  /** The platform's list says that a worker leaves. */
  record WorkerLeaving(String worker) implements Event {}

  /** The host is to stop once its work is done. */
  record DrainAsked() implements Event {}
}
