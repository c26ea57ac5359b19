package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.model.SubmissionId;

/**
 * The claims of one shard, each kept until the last moment a resubmission may come.
 *
 * <p>Invariant: at most one claim for each submission. Confined to one thread.
 */
final class ClaimTable {

  private final Map<SubmissionId, ClaimEntry> claims = new HashMap<>();
  private final PriorityQueue<ClaimEntry> byExpiry =
      new PriorityQueue<>(Comparator.comparingLong(ClaimEntry::keepUntil));

  ClaimEntry get(SubmissionId id) {
    return claims.get(id);
  }

  /** Adds a claim in place of any earlier one of the same submission. */
  void put(ClaimEntry entry) {
    claims.put(entry.id(), entry);
    byExpiry.add(entry);
  }

  /** Drops the claim if it is the one in force. */
  boolean remove(ClaimEntry entry) {
    return claims.remove(entry.id(), entry);
  }

  /** Forgets the claims whose time is over. */
  void expire(long now) {
    while (!byExpiry.isEmpty() && byExpiry.peek().keepUntil() < now) {
      remove(byExpiry.poll());
    }
  }

  List<ClaimEntry> all() {
    return new ArrayList<>(claims.values());
  }

  int size() {
    return claims.size();
  }

  void clear() {
    claims.clear();
    byExpiry.clear();
  }
}
