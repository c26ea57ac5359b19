package org.marjoramhoist.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.message.PeerMessage.ClaimReply;
import org.marjoramhoist.message.PeerMessage.ClaimVerdict;
import org.marjoramhoist.model.HostRef;

/**
 * Claims that wait until every required member holds them, in the order of arrival.
 *
 * <p>A claim is granted once and only by {@link #grantHeld} or {@link #grantLogged}. Confined to
 * one thread.
 */
final class GrantQueue {

  private static final int ENTRIES_PER_BATCH = 2_000;
  private static final int BATCHES_BEFORE_COMPACTION = 64;

  /** Answers a claim, here or at another host. */
  interface Replies {
    void reply(HostRef to, ClaimReply reply, Actions out);
  }

  /** Tells whether the members hold a claim with these numbers. */
  interface Held {
    boolean test(long standbySeq, long candidateSeq);
  }

  private record Waiting(
      HostRef from, long call, ClaimEntry entry, long since, long standbySeq, long candidateSeq) {}

  private final String shard;
  private final Replies replies;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final List<Waiting> logging = new ArrayList<>();
  private Action.LogClaims batchInFlight;
  private long batch;
  private int batchesSinceCompaction;

  GrantQueue(String shard, Replies replies) {
    this.shard = shard;
    this.replies = replies;
  }

  void add(
      HostRef from, long call, ClaimEntry entry, long now, long standbySeq, long candidateSeq) {
    waiting.add(new Waiting(from, call, entry, now, standbySeq, candidateSeq));
  }

  /** Tells whether a claim has waited since before the time. */
  boolean hasWaitedSince(long time) {
    return !waiting.isEmpty() && waiting.peek().since <= time;
  }

  boolean isLogging() {
    return !logging.isEmpty();
  }

  /** Grants what the members hold. */
  void grantHeld(Held held, Actions out) {
    while (!waiting.isEmpty()) {
      Waiting next = waiting.peek();
      if (!held.test(next.standbySeq, next.candidateSeq)) {
        return;
      }
      waiting.poll();
      grant(next, out);
    }
  }

  private void grant(Waiting claim, Actions out) {
    ClaimReply reply = new ClaimReply(claim.call, ClaimVerdict.GRANTED, claim.entry);
    replies.reply(claim.from, reply, out);
  }

  /** Starts to log waiting claims unless a batch is in flight. */
  void log(long revision, long epoch, ClaimTable table, Actions out) {
    if (waiting.isEmpty() || isLogging()) {
      return;
    }
    while (!waiting.isEmpty() && logging.size() < ENTRIES_PER_BATCH) {
      logging.add(waiting.poll());
    }
    batch++;
    batchesSinceCompaction++;
    boolean whole =
        batchesSinceCompaction > BATCHES_BEFORE_COMPACTION && table.size() <= ENTRIES_PER_BATCH;
    if (whole) {
      batchesSinceCompaction = 0;
    }
    List<ClaimEntry> entries = whole ? table.all() : logging.stream().map(Waiting::entry).toList();
    batchInFlight = new Action.LogClaims(shard, revision, epoch, batch, entries, whole);
    out.add(batchInFlight);
  }

  /** Sends the batch in flight again, unchanged, since what became of it is not known. */
  void logAgain(Actions out) {
    if (batchInFlight != null) {
      out.add(batchInFlight);
    }
  }

  boolean isInFlight(long epoch, long number) {
    return batchInFlight != null
        && batchInFlight.epoch() == epoch
        && batchInFlight.batch() == number;
  }

  void grantLogged(Actions out) {
    List<Waiting> logged = List.copyOf(logging);
    logging.clear();
    batchInFlight = null;
    logged.forEach(claim -> grant(claim, out));
  }

  /** Lets the batch in flight wait again, for the members of another record. */
  void requeue() {
    for (int i = logging.size() - 1; i >= 0; i--) {
      waiting.addFirst(logging.get(i));
    }
    logging.clear();
    batchInFlight = null;
    batch = 0;
  }

  /** Makes what was sent to the candidate count for the standby, which it has become. */
  void promoteCandidate() {
    List<Waiting> all = new ArrayList<>(waiting);
    waiting.clear();
    for (Waiting w : all) {
      waiting.add(new Waiting(w.from, w.call, w.entry, w.since, w.candidateSeq, 0));
    }
  }

  /** Answers every claim that still waits. */
  void refuseAll(Actions out) {
    requeue();
    List<Waiting> all = new ArrayList<>(waiting);
    waiting.clear();
    for (Waiting w : all) {
      replies.reply(w.from, new ClaimReply(w.call, ClaimVerdict.UNAVAILABLE, null), out);
    }
  }
}
