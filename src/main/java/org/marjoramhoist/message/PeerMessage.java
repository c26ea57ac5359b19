package org.marjoramhoist.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.resource.ResourceDoc;

/**
 * A message from one entry host to another.
 *
 * <p>Messages on one connection arrive in the order they were sent; any of them may be lost with
 * the connection. Immutable and safe for use by several threads.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "hb"),
  @JsonSubTypes.Type(value = PeerMessage.ClaimRequest.class, name = "cq"),
  @JsonSubTypes.Type(value = PeerMessage.ClaimReply.class, name = "cr"),
  @JsonSubTypes.Type(value = PeerMessage.ClaimRelease.class, name = "cx"),
  @JsonSubTypes.Type(value = PeerMessage.Replicate.class, name = "rp"),
  @JsonSubTypes.Type(value = PeerMessage.ReplicateAck.class, name = "ra"),
  @JsonSubTypes.Type(value = PeerMessage.Snapshot.class, name = "sn"),
  @JsonSubTypes.Type(value = PeerMessage.Forward.class, name = "fw"),
  @JsonSubTypes.Type(value = PeerMessage.ForwardReply.class, name = "fr"),
  @JsonSubTypes.Type(value = PeerMessage.Locate.class, name = "lq"),
  @JsonSubTypes.Type(value = PeerMessage.Cancel.class, name = "cn"),
  @JsonSubTypes.Type(value = PeerMessage.LoanRequest.class, name = "oq"),
  @JsonSubTypes.Type(value = PeerMessage.LoanGrant.class, name = "og"),
  @JsonSubTypes.Type(value = PeerMessage.LoanReturn.class, name = "or"),
  @JsonSubTypes.Type(value = PeerMessage.ConfigRequest.class, name = "gq"),
  @JsonSubTypes.Type(value = PeerMessage.ConfigUpdate.class, name = "gu")
})
public sealed interface PeerMessage {

  /**
   * Says that the sender lives, and what others need to know of it.
   *
   * @param seq counts the sender's heartbeats
   * @param address {@code host:port} of the sender's peer listener
   * @param domain the sender's failure domain
   * @param draining whether the sender is stopping
   * @param configRevision the revision of the configuration in force at the sender
   * @param shards the shards that the sender decides
   * @param demand tasks waiting and running at the sender, by upstream
   * @param known other hosts that the sender hears, with their addresses
   * @param workerHints workers that the sender takes to be ejected or leaving
   */
  record Heartbeat(
      long seq,
      String address,
      String domain,
      boolean draining,
      long configRevision,
      List<ShardView> shards,
      Map<String, Integer> demand,
      Map<String, String> known,
      List<WorkerHint> workerHints)
      implements PeerMessage {}

  /**
   * A shard as its owner sees it.
   *
   * @param shard the shard's key, {@code domain/number}
   * @param epoch the epoch of its record
   */
  record ShardView(String shard, long epoch) {}

  /**
   * What a host has learned of a worker.
   *
   * @param upstream the upstream
   * @param worker the worker
   * @param leaving true if the worker leaves, false if it fails what it is given
   */
  record WorkerHint(String upstream, String worker, boolean leaving) {}

  /**
   * Asks the owner of a shard to bind a submission to the starter.
   *
   * @param call matches the reply
   * @param shard the shard of the submission
   * @param entry the claim
   */
  record ClaimRequest(long call, String shard, ClaimEntry entry) implements PeerMessage {}

  /**
   * Binds a submission to the one incarnation that may start it.
   *
   * @param id the submission
   * @param digest the digest of its body
   * @param starter the incarnation that may start it
   * @param nonce the starter's number of this claim
   * @param keepUntil when the claim may be forgotten, in microseconds since the epoch
   */
  record ClaimEntry(SubmissionId id, String digest, HostRef starter, long nonce, long keepUntil) {}

  /** What became of a claim. */
  enum ClaimVerdict {
    /** The starter may start the submission. */
    GRANTED,
    /** Another incarnation or claim may start it. */
    TAKEN,
    /** The id was used with another body. */
    CONFLICT,
    /** The receiver does not own the shard. */
    NOT_OWNER,
    /** The owner can't decide at present. */
    UNAVAILABLE,
    /** No claim is known; the answer to a question only. */
    UNCLAIMED
  }

  /**
   * Answers a claim or a question for one.
   *
   * @param call matches the request
   * @param verdict what became of it
   * @param holder the claim that is in force; null if there is none
   */
  record ClaimReply(long call, ClaimVerdict verdict, ClaimEntry holder) implements PeerMessage {}

  /** Tells the owner that the starter will never start the claimed submission. */
  record ClaimRelease(String shard, ClaimEntry entry) implements PeerMessage {}

  /**
   * Passes a claim or its release to the standby.
   *
   * @param shard the shard
   * @param epoch the epoch under which the owner acts
   * @param seq counts the shard's changes since the snapshot, from 1
   * @param entry the claim
   * @param release whether the claim is dropped instead of added
   */
  record Replicate(String shard, long epoch, long seq, ClaimEntry entry, boolean release)
      implements PeerMessage {}

  /**
   * Answers a snapshot or a change.
   *
   * @param shard the shard
   * @param epoch the epoch of the message that is answered
   * @param seq the last change held without a gap; -1 if the standby refuses
   */
  record ReplicateAck(String shard, long epoch, long seq) implements PeerMessage {}

  /**
   * Passes the claims of a shard to a standby, in parts.
   *
   * @param shard the shard
   * @param epoch the epoch under which the owner acts
   * @param part the number of this part, from 0
   * @param parts how many parts there are
   * @param entries the claims of this part
   */
  record Snapshot(String shard, long epoch, int part, int parts, List<ClaimEntry> entries)
      implements PeerMessage {}

  /**
   * Passes a submission to the incarnation that decides on it.
   *
   * @param call matches the reply
   * @param job the job; null if only its answer is asked for
   * @param id the submission
   * @param mayStart whether the receiver may start it if it does not know it
   */
  record Forward(long call, SubmissionId id, JobSpec job, boolean mayStart)
      implements PeerMessage {}

  /**
   * Answers a passed submission once its job has ended.
   *
   * @param call matches the request
   * @param answer the answer
   */
  record ForwardReply(long call, JobAnswer answer) implements PeerMessage {}

  /** Asks the owner of a shard who may start a submission. */
  record Locate(long call, String shard, SubmissionId id) implements PeerMessage {}

  /** Asks the starter of a submission to cancel it. */
  record Cancel(SubmissionId id, TeamId team) implements PeerMessage {}

  /**
   * Slots of one worker.
   *
   * @param worker the worker
   * @param count how many
   */
  record Slots(String worker, int count) {}

  /**
   * Asks a host for the use of slots that it leaves free.
   *
   * @param upstream the upstream
   * @param count how many are wanted; 0 withdraws an earlier request
   */
  record LoanRequest(String upstream, int count) implements PeerMessage {}

  /**
   * Lends slots; an empty list says that none is free.
   *
   * @param upstream the upstream
   * @param slots the slots
   * @param until when no further attempt may be started on them, in microseconds since the epoch
   */
  record LoanGrant(String upstream, List<Slots> slots, long until) implements PeerMessage {}

  /** Gives lent slots back. */
  record LoanReturn(String upstream, List<Slots> slots) implements PeerMessage {}

  /** Asks for the configuration after a revision. */
  record ConfigRequest(long sinceRevision) implements PeerMessage {}

  /**
   * Passes configuration on.
   *
   * @param baseRevision the revision that the change applies to; -1 if it holds the whole
   * @param revision the revision it leads to
   * @param changed resources that were added or changed
   * @param deleted keys of resources that were deleted
   */
  record ConfigUpdate(
      long baseRevision, long revision, List<ResourceDoc> changed, List<String> deleted)
      implements PeerMessage {}
}
