package org.marjoramhoist.lead;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the host to which the partition's leader hands over: among the followers that can take
 * over now, one that has followed for some time rather than one that has just started, then the one
 * with the largest capacity, then the first by name.
 *
 * <p>Confined to one thread.
 */
public final class SuccessorSelector {

  /** How long a follower's reply that it can take over is valid. */
  private static final long REPLY_VALID_MICROS = 400_000;

  /**
   * How long a host must have confirmed without a gap that it can lead before it is asked to
   * because it is larger, or is preferred to hosts that followed for less time.
   */
  private static final long STABLE_FOLLOWER_MICROS = 2_000_000;

  /** The minimum interval between requests to a larger host to lead. */
  private static final long REQUEST_INTERVAL_MICROS = 1_000_000;

  private record Follower(long followingSince, long repliedAt) {}

  private final HostCapacity ownCapacity;
  private final Map<String, Follower> followers = new HashMap<>();
  private Map<String, HostCapacity> capacities = Map.of();
  private long requestedAt;

  /**
   * Creates a selector.
   *
   * @param ownCapacity the capacity of the leading host, whether it is registered or not
   */
  public SuccessorSelector(HostCapacity ownCapacity) {
    this.ownCapacity = ownCapacity;
  }

  /** Starts a new term without followers. */
  public void startTerm(long now) {
    followers.clear();
    requestedAt = now;
  }

  /** Sets the capacities of the registered hosts. */
  public void setCapacities(Map<String, HostCapacity> hosts) {
    capacities = Map.copyOf(hosts);
  }

  /** Handles a follower's reply, which says whether it could take over now. */
  public void followerReplied(String host, boolean mayLead, long now) {
    if (!mayLead) {
      followers.remove(host);
      return;
    }
    followers.compute(
        host,
        (name, existing) ->
            new Follower(
                existing == null || !isRecent(existing, now) ? now : existing.followingSince, now));
  }

  private static boolean isRecent(Follower follower, long now) {
    return now - follower.repliedAt < REPLY_VALID_MICROS;
  }

  /** Returns the host that should lead if this one can't continue; empty if none can. */
  public Optional<String> selectSuccessor(long now) {
    return followers.entrySet().stream()
        .filter(entry -> isRecent(entry.getValue(), now))
        .map(Map.Entry::getKey)
        .min(
            Comparator.comparing((String host) -> !isStable(followers.get(host), now))
                .thenComparing(Comparator.comparing(this::capacityOf).reversed())
                .thenComparing(name -> name));
  }

  private static boolean isStable(Follower follower, long now) {
    return now - follower.followingSince >= STABLE_FOLLOWER_MICROS;
  }

  /**
   * Returns the host that should lead because its capacity is much larger than this one's; empty if
   * there is none, or if the last request was sent too recently.
   */
  public Optional<String> selectLargerSuccessor(long now) {
    if (now - requestedAt < REQUEST_INTERVAL_MICROS) {
      return Optional.empty();
    }
    Optional<String> larger =
        selectSuccessor(now)
            .filter(host -> ownCapacity.isMuchSmallerThan(capacityOf(host)))
            .filter(host -> isStable(followers.get(host), now));
    if (larger.isPresent()) {
      requestedAt = now;
    }
    return larger;
  }

  private HostCapacity capacityOf(String host) {
    return capacities.getOrDefault(host, HostCapacity.UNKNOWN);
  }
}
