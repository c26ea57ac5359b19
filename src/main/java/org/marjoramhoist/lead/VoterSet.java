package org.marjoramhoist.lead;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The hosts that count towards the majority: the registered ones, and for a limited time those
 * whose registration was removed. A registration also expires when the store is unavailable
 * although its host is still running.
 *
 * <p>Confined to one thread.
 */
final class VoterSet {

  /** How long a host counts after its registration was removed. */
  private static final long EXPIRED_VOTER_MICROS = 10_000_000;

  private final String self;
  private final Map<String, Long> expiredVoters = new HashMap<>();
  private Map<String, HostCapacity> registered = Map.of();
  private boolean known;
  private boolean hadOthers;

  VoterSet(String self) {
    this.self = self;
  }

  /** Replaces the registered hosts. */
  void update(Map<String, HostCapacity> hosts, long now) {
    known = true;
    for (String host : registered.keySet()) {
      expiredVoters.put(host, now + EXPIRED_VOTER_MICROS);
    }
    registered = Map.copyOf(hosts);
    expiredVoters.keySet().removeAll(registered.keySet());
    hadOthers |= !others(now).isEmpty();
  }

  /** Returns the registered hosts. */
  Map<String, HostCapacity> registered() {
    return registered;
  }

  /** Returns the hosts that count towards the majority, without this one. */
  Set<String> others(long now) {
    expiredVoters.values().removeIf(until -> until <= now);
    Set<String> others = new TreeSet<>(registered.keySet());
    others.addAll(expiredVoters.keySet());
    others.remove(self);
    return others;
  }

  /** Returns whether the registered hosts are known; a host that has just started knows none. */
  boolean isKnown() {
    return known;
  }

  /** Returns whether it is known that no other host was ever registered. */
  boolean neverHadOthers() {
    return known && !hadOthers;
  }
}
