package org.marjoramhoist.decision;

import java.util.List;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.message.PeerMessage.Replicate;
import org.marjoramhoist.message.PeerMessage.Snapshot;
import org.marjoramhoist.model.HostRef;

/**
 * What the owner of a shard knows of a host that copies its claims.
 *
 * <p>Invariant: the host holds every change up to {@link #acked()}, and {@code acked <= sent}.
 * Confined to one thread.
 */
final class Follower {

  /** Most claims in one part of a snapshot; keeps a part well under the frame limit. */
  static final int ENTRIES_PER_PART = 2_000;

  private static final long NOTHING_HELD = -1;

  private final HostRef ref;
  private final long deadline;
  private long sent;
  private long acked = NOTHING_HELD;

  /**
   * Creates a follower that holds nothing yet.
   *
   * @param ref the host
   * @param deadline when the copy is given up if the snapshot was not acknowledged
   */
  Follower(HostRef ref, long deadline) {
    this.ref = ref;
    this.deadline = deadline;
  }

  HostRef ref() {
    return ref;
  }

  long deadline() {
    return deadline;
  }

  long sent() {
    return sent;
  }

  long acked() {
    return acked;
  }

  /** Tells whether the host holds everything that was sent to it. */
  boolean isCurrent() {
    return acked == sent;
  }

  /** Tells whether the host has acknowledged the snapshot. */
  boolean hasSnapshot() {
    return acked != NOTHING_HELD;
  }

  void sendSnapshot(String shard, long epoch, List<ClaimEntry> entries, Actions out) {
    int parts = Math.max(1, (entries.size() + ENTRIES_PER_PART - 1) / ENTRIES_PER_PART);
    for (int part = 0; part < parts; part++) {
      int from = part * ENTRIES_PER_PART;
      int to = Math.min(entries.size(), from + ENTRIES_PER_PART);
      List<ClaimEntry> slice = List.copyOf(entries.subList(from, to));
      out.send(ref.host(), new Snapshot(shard, epoch, part, parts, slice));
    }
  }

  /**
   * Sends a change.
   *
   * @return the number under which the host will acknowledge it
   */
  long replicate(String shard, long epoch, ClaimEntry entry, boolean release, Actions out) {
    sent++;
    out.send(ref.host(), new Replicate(shard, epoch, sent, entry, release));
    return sent;
  }

  void ack(long seq) {
    acked = Math.max(acked, Math.min(seq, sent));
  }
}
