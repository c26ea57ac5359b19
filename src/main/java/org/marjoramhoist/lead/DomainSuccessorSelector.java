package org.marjoramhoist.lead;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the host to which the leader of a failure domain hands over when it stops.
 *
 * <p>Confined to one thread.
 */
public final class DomainSuccessorSelector {

  /** How long a follower that does not answer counts as one that may take over. */
  private static final long REPLY_VALID_MICROS = 300_000;

  private final Map<String, Long> repliedAt = new HashMap<>();

  /** Takes in a follower's reply, which says whether it could take over. */
  public void followerReplied(String host, boolean mayTakeOver, long now) {
    if (mayTakeOver) {
      repliedAt.put(host, now);
    } else {
      repliedAt.remove(host);
    }
  }

  /** Forgets all replies. */
  public void clear() {
    repliedAt.clear();
  }

  /**
   * Returns the member that could carry most of those that lately could take over.
   *
   * @param members the hosts of the failure domain
   */
  public Optional<String> choose(Map<String, HostCapacity> members, long now) {
    return repliedAt.entrySet().stream()
        .filter(each -> now - each.getValue() < REPLY_VALID_MICROS)
        .map(Map.Entry::getKey)
        .filter(members::containsKey)
        .max(
            Comparator.<String, HostCapacity>comparing(members::get)
                .thenComparing(Comparator.reverseOrder()));
  }
}
