package org.marjoramhoist.decision;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.marjoramhoist.model.HostRef;

/**
 * The record in the store that says who decides on the submissions of a shard.
 *
 * <p>It is changed only by compare-and-swap, and every change raises the epoch. A record without a
 * standby means that claims are logged in the store under the record's revision. Immutable.
 *
 * @param epoch counts the changes
 * @param owner the incarnation that decides
 * @param standby the incarnation that holds a copy of every claim; null if there is none
 * @param blindUntil until when earlier claims may be missing, in microseconds since the epoch
 */
public record ShardRecord(long epoch, HostRef owner, HostRef standby, long blindUntil) {

  /** Tells whether the incarnation is named in the record. */
  @JsonIgnore
  public boolean isMember(HostRef ref) {
    return ref.equals(owner) || ref.equals(standby);
  }

  /** Returns the record that follows this one with the given members. */
  public ShardRecord next(HostRef newOwner, HostRef newStandby) {
    return new ShardRecord(epoch + 1, newOwner, newStandby, blindUntil);
  }
}
