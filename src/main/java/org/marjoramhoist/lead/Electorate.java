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
final class Electorate {

  /** How long a host counts after its registration is gone. */
  private static final long LAPSED_MICROS = 10_000_000;

  private final String self;
  private final Map<String, Long> lapsedUntil = new HashMap<>();
  private Map<String, HostCapacity> registered = Map.of();
  private boolean hadOthers;

  Electorate(String self) {
    this.self = self;
  }

  /** Takes in the registered hosts. */
  void seen(Map<String, HostCapacity> hosts, long now) {
    for (String host : registered.keySet()) {
      lapsedUntil.put(host, now + LAPSED_MICROS);
    }
    registered = Map.copyOf(hosts);
    lapsedUntil.keySet().removeAll(registered.keySet());
    hadOthers |= !others(now).isEmpty();
  }

  /** Returns the registered hosts. */
  Map<String, HostCapacity> registered() {
    return registered;
  }

  /** Returns the hosts that count, without this one. */
  Set<String> others(long now) {
    lapsedUntil.values().removeIf(until -> until <= now);
    Set<String> others = new TreeSet<>(registered.keySet());
    others.addAll(lapsedUntil.keySet());
    others.remove(self);
    return others;
  }

  /** Tells whether there has never been another host. */
  boolean wasAlwaysAlone() {
    return !hadOthers;
  }
}
