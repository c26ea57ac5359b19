package org.marjoramhoist.lead;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the host to which the leader of an isolated failure domain hands over when it stops.
 *
 * <p>Confined to one thread.
 */
public final class DomainSuccessorSelector {

  /** How long a follower's reply that it can take over is valid. */
  private static final long REPLY_VALID_MICROS = 300_000;

  private final Map<String, Long> repliedAt = new HashMap<>();

  /** Handles a follower's reply, which says whether it could take over now. */
  public void followerReplied(String host, boolean mayTakeOver, long now) {
    if (mayTakeOver) {
      repliedAt.put(host, now);
    } else {
      repliedAt.remove(host);
    }
  }

  /** Discards all replies. */
  public void clear() {
    repliedAt.clear();
  }

  /**
   * Returns the member with the largest capacity among those whose valid reply says that they can
   * take over; among those of equal capacity, the first by name.
   *
   * @param members the hosts of the failure domain
   */
  public Optional<String> selectSuccessor(Map<String, HostCapacity> members, long now) {
    return repliedAt.entrySet().stream()
        .filter(entry -> now - entry.getValue() < REPLY_VALID_MICROS)
        .map(Map.Entry::getKey)
        .filter(members::containsKey)
        .max(
            Comparator.<String, HostCapacity>comparing(members::get)
                .thenComparing(Comparator.reverseOrder()));
  }
}
