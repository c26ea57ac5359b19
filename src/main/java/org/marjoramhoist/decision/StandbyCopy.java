package org.marjoramhoist.decision;

import org.marjoramhoist.message.PeerMessage.Replicate;
import org.marjoramhoist.message.PeerMessage.ReplicateAck;
import org.marjoramhoist.message.PeerMessage.Snapshot;
import org.marjoramhoist.model.HostRef;

/**
 * The copy of a shard's claims at a standby, or at a host about to become one.
 *
 * <p>Invariant: once complete, the copy holds every change up to the last acknowledged one without
 * a gap. A sealed copy acknowledges nothing, so its owner can grant nothing more. A copy is never
 * replaced by that of an earlier epoch, so an owner that was paused can't overwrite it. Confined to
 * one thread.
 */
final class StandbyCopy {

  private static final long REFUSED = -1;

  private final ClaimTable table;
  private HostRef owner;
  private int nextPart;
  private boolean complete;
  private long held;
  private long epoch = -1;
  private long sealedEpoch = -1;

  StandbyCopy(ClaimTable table) {
    this.table = table;
  }

  /** Refuses all changes of this and earlier epochs from now on. */
  void seal(long epoch) {
    sealedEpoch = Math.max(sealedEpoch, epoch);
  }

  /** Tells whether the copy holds all that the owner has granted. */
  boolean isCompleteFrom(HostRef from) {
    return complete && from.equals(owner);
  }

  boolean isComplete() {
    return complete;
  }

  void discard() {
    owner = null;
    complete = false;
    nextPart = 0;
    held = 0;
  }

  void snapshot(HostRef from, Snapshot part, Actions out) {
    if (part.epoch() <= sealedEpoch || part.epoch() < epoch) {
      refuse(from, part.shard(), part.epoch(), out);
      return;
    }
    if (part.part() == 0) {
      discard();
      owner = from;
      epoch = part.epoch();
      table.clear();
    }
    if (!from.equals(owner) || complete || part.part() != nextPart) {
      refuse(from, part.shard(), part.epoch(), out);
      return;
    }
    part.entries().forEach(table::put);
    nextPart++;
    if (nextPart == part.parts()) {
      complete = true;
      held = 0;
      out.send(from.host(), new ReplicateAck(part.shard(), part.epoch(), held));
    }
  }

  void replicate(HostRef from, Replicate change, Actions out) {
    boolean follows = complete && from.equals(owner) && change.seq() == held + 1;
    if (change.epoch() <= sealedEpoch || !follows) {
      refuse(from, change.shard(), change.epoch(), out);
      return;
    }
    held++;
    epoch = Math.max(epoch, change.epoch());
    if (change.release()) {
      table.remove(change.entry());
    } else {
      table.put(change.entry());
    }
    out.send(from.host(), new ReplicateAck(change.shard(), change.epoch(), held));
  }

  private static void refuse(HostRef from, String shard, long epoch, Actions out) {
    out.send(from.host(), new ReplicateAck(shard, epoch, REFUSED));
  }
}
