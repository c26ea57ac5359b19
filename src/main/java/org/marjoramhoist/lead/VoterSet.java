package org.marjoramhoist.lead;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The hosts whose majority counts: those that are registered, and for a time those whose
 * registration is gone, as it lapses when the store is away while the host runs on.
 *
 * <p>Confined to one thread.
 */
final class VoterSet {

  /** How long a host counts after its registration is gone. */
  private static final long EXPIRED_VOTER_MICROS = 10_000_000;

  private final String self;
  private final Map<String, Long> expiredVoters = new HashMap<>();
  private Map<String, HostCapacity> registered = Map.of();
  private boolean hadOthers;

  VoterSet(String self) {
    this.self = self;
  }

  /** Takes in the registered hosts. */
  void update(Map<String, HostCapacity> hosts, long now) {
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

  /** Returns the hosts that count, without this one. */
  Set<String> others(long now) {
    expiredVoters.values().removeIf(until -> until <= now);
    Set<String> others = new TreeSet<>(registered.keySet());
    others.addAll(expiredVoters.keySet());
    others.remove(self);
    return others;
  }

  /** Tells whether there has never been another host. */
  boolean neverHadOthers() {
    return !hadOthers;
  }
}
