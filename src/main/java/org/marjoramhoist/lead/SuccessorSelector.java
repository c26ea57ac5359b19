package org.marjoramhoist.lead;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which host a leader hands over to: the one that carries most among those that follow it and could
 * take over now; of equal ones the first by name.
 *
 * <p>Confined to one thread.
 */
public final class SuccessorSelector {

  /** How lately a host must have said that it can take over. */
  private static final long REPLY_VALID_MICROS = 400_000;

  /** How long a larger host must follow without a break before it is asked to lead. */
  private static final long STABLE_FOLLOWER_MICROS = 2_000_000;

  /** How long after one request to lead the next is sent, if nothing but size asks for it. */
  private static final long REQUEST_INTERVAL_MICROS = 1_000_000;

  private record Follower(long followingSince, long repliedAt) {}

  private final HostCapacity ownCapacity;
  private final Map<String, Follower> followers = new HashMap<>();
  private Map<String, HostCapacity> capacities = Map.of();
  private long requestedAt;

  /**
   * Creates the choice of a host's successor.
   *
   * @param own what that host could carry as leader, whether it is registered or not
   */
  public SuccessorSelector(HostCapacity own) {
    this.ownCapacity = own;
  }

  /** Begins a term at a time: nobody follows yet. */
  public void startTerm(long now) {
    followers.clear();
    requestedAt = now;
  }

  /** Takes in what the registered hosts carry. */
  public void setCapacities(Map<String, HostCapacity> hosts) {
    capacities = Map.copyOf(hosts);
  }

  /** Takes in that a host follows this one, and whether it could take over now. */
  public void followerReplied(String host, boolean mayLead, long now) {
    if (!mayLead) {
      followers.remove(host);
      return;
    }
    followers.compute(
        host,
        (name, known) ->
            new Follower(known == null || !isRecent(known, now) ? now : known.followingSince, now));
  }

  private static boolean isRecent(Follower follower, long now) {
    return now - follower.repliedAt < REPLY_VALID_MICROS;
  }

  /** Returns the host that should lead if this one can't go on; empty if none could. */
  public Optional<String> choose(long now) {
    return followers.entrySet().stream()
        .filter(each -> isRecent(each.getValue(), now))
        .map(Map.Entry::getKey)
        .min(Comparator.comparing(this::capacityOf).reversed().thenComparing(name -> name));
  }

  /**
   * Returns the host that should lead because it carries much more than this one; empty if there is
   * none, or if it was asked a short time ago.
   */
  public Optional<String> chooseLarger(long now) {
    if (now - requestedAt < REQUEST_INTERVAL_MICROS) {
      return Optional.empty();
    }
    Optional<String> larger =
        choose(now)
            .filter(host -> ownCapacity.isMuchSmallerThan(capacityOf(host)))
            .filter(host -> now - followers.get(host).followingSince >= STABLE_FOLLOWER_MICROS);
    if (larger.isPresent()) {
      requestedAt = now;
    }
    return larger;
  }

  private HostCapacity capacityOf(String host) {
    return capacities.getOrDefault(host, HostCapacity.UNKNOWN);
  }
}
