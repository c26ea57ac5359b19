package org.marjoramhoist.decision;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.message.PeerMessage.ClaimRelease;
import org.marjoramhoist.message.PeerMessage.ClaimReply;
import org.marjoramhoist.message.PeerMessage.ClaimRequest;
import org.marjoramhoist.message.PeerMessage.ClaimVerdict;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;

/**
 * Has submissions of this host claimed by the owners of their shards.
 *
 * <p>Invariants: each call has its own number, which is the nonce of its claim; a claim whose call
 * was given up is released, and its late grant starts nothing. Confined to one thread.
 */
final class ClaimCalls {

  private static final long PAUSE = 50 * Policy.MICROS_PER_MILLI;

  /** Hears what became of a submission's claim; exactly one of these is told. */
  interface Outcomes {
    /** This host alone may start the submission. */
    void granted(long now, Submission submission, Actions out);

    /** Another claim is in force. */
    void taken(long now, Submission submission, ClaimEntry holder, Actions out);

    /** The id was used with another body. */
    void conflicting(Submission submission, Actions out);

    /** Nobody has decided; this host starts nothing. */
    void undecided(long now, Submission submission, String detail, Actions out);
  }

  private record Due(long time, long call, Submission submission) {}

  private record Call(HostId owner, Submission submission) {}

  private final Policy policy;
  private final Membership membership;
  private final ClaimAuthority claims;
  private final Outcomes outcomes;
  private final Map<Long, Call> open = new TreeMap<>();
  private final PriorityQueue<Due> deadlines =
      new PriorityQueue<>(Comparator.comparingLong(Due::time));
  private final PriorityQueue<Due> retries =
      new PriorityQueue<>(Comparator.comparingLong(Due::time));
  private long calls;

  ClaimCalls(Policy policy, Membership membership, ClaimAuthority claims, Outcomes outcomes) {
    this.policy = policy;
    this.membership = membership;
    this.claims = claims;
    this.outcomes = outcomes;
  }

  /** Tells whether no claim is under way. */
  boolean isEmpty() {
    return open.isEmpty() && retries.isEmpty();
  }

  /** Returns a number for a call that no other call of this incarnation has. */
  long nextCall() {
    return ++calls;
  }

  /** Asks the owner of the submission's shard for the claim. */
  void send(long now, Submission submission, Actions out) {
    String shard = Shards.shardOf(submission.id(), policy);
    HostId owner = claims.ownerOf(shard);
    if (owner == null) {
      retry(now, submission, "nobody decides on shard " + shard + " at present", out);
      return;
    }
    long call = nextCall();
    ClaimEntry entry =
        new ClaimEntry(
            submission.id(), submission.digest(), policy.self(), call, submission.keepUntil());
    submission.startClaim(shard, entry);
    open.put(call, new Call(owner, submission));
    deadlines.add(new Due(now + policy.claimTimeout(), call, submission));
    ClaimRequest request = new ClaimRequest(call, shard, entry);
    if (owner.equals(policy.self().host())) {
      claims.claim(now, policy.self(), request, out);
    } else {
      out.send(owner, request);
    }
  }

  /** Tries again shortly, unless nobody of the home domain is there or the patience is over. */
  private void retry(long now, Submission submission, String detail, Actions out) {
    String shard = Shards.shardOf(submission.id(), policy);
    boolean hopeful = now + PAUSE < submission.patience() && membership.hasHostFor(shard);
    if (hopeful) {
      retries.add(new Due(now + PAUSE, 0, submission));
    } else {
      outcomes.undecided(now, submission, detail, out);
    }
  }

  /** Takes in what the owner of a shard has decided. */
  void replied(long now, HostRef from, ClaimReply reply, Actions out) {
    Call call = open.remove(reply.call());
    if (call == null) {
      if (reply.verdict() == ClaimVerdict.GRANTED) {
        ClaimEntry entry = reply.holder();
        sendRelease(from.host(), Shards.shardOf(entry.id(), policy), entry, out);
      }
      return;
    }
    Submission submission = call.submission;
    switch (reply.verdict()) {
      case GRANTED -> outcomes.granted(now, submission, out);
      case TAKEN -> outcomes.taken(now, submission, reply.holder(), out);
      case CONFLICT -> outcomes.conflicting(submission, out);
      default -> retry(now, submission, "the shard's owner can't decide at present", out);
    }
  }

  /** Gives the claim of a submission back that this host will not start. */
  void release(Submission submission, Actions out) {
    HostId owner = claims.ownerOf(submission.shard());
    if (owner != null) {
      sendRelease(owner, submission.shard(), submission.entry(), out);
    }
  }

  private void sendRelease(HostId owner, String shard, ClaimEntry entry, Actions out) {
    ClaimRelease release = new ClaimRelease(shard, entry);
    if (owner.equals(policy.self().host())) {
      claims.release(policy.self(), release, out);
    } else {
      out.send(owner, release);
    }
  }

  /** Gives up the calls to a host whose connection broke, and tries again shortly. */
  void linkLost(long now, HostId owner, Actions out) {
    List<Call> lost = open.values().stream().filter(call -> call.owner.equals(owner)).toList();
    open.values().removeAll(lost);
    for (Call call : lost) {
      release(call.submission, out);
      retry(now, call.submission, "the connection to the shard's owner broke", out);
    }
  }

  /** Gives up calls that were not answered in time, and makes the retries that are due. */
  void tick(long now, Actions out) {
    while (!deadlines.isEmpty() && deadlines.peek().time <= now) {
      Due due = deadlines.poll();
      if (open.remove(due.call) != null) {
        release(due.submission, out);
        retry(now, due.submission, "the shard's owner did not answer in time", out);
      }
    }
    while (!retries.isEmpty() && retries.peek().time <= now) {
      Submission submission = retries.poll().submission;
      if (!submission.isGivenUp()) {
        send(now, submission, out);
      }
    }
  }
}
