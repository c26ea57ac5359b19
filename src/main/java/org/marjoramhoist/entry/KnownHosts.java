package org.marjoramhoist.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.lead.HostCapacity;

/**
 * The hosts that are registered, and those that were until recently.
 *
 * <p>A host may still be running when its registration was removed: the store may have expired its
 * lease and reject its requests. A leader keeps a link to it for a limited time, so that its
 * callers are still served.
 *
 * <p>Invariant: no two hosts of {@link #reachable} have the same address. Confined to one thread.
 */
final class KnownHosts {

  /** How long a host counts as reachable after its registration was removed. */
  private static final long DEREGISTERED_HOST_MICROS = 30_000_000;

  private record DeregisteredHost(String address, long until) {}

  private final Map<String, String> addresses = new LinkedHashMap<>();
  private final Map<String, HostCapacity> capacities = new HashMap<>();
  private final Map<String, String> domains = new HashMap<>();
  private final Map<String, DeregisteredHost> deregistered = new LinkedHashMap<>();

  /** Records a registration. */
  void register(String host, String address, String domain, HostCapacity capacity) {
    addresses.put(host, address);
    domains.put(host, domain);
    capacities.put(host, capacity);
    deregistered.remove(host);
  }

  /** Records that a registration was removed. */
  void deregister(String host, long now) {
    String address = addresses.remove(host);
    capacities.remove(host);
    if (address != null) {
      deregistered.put(host, new DeregisteredHost(address, now + DEREGISTERED_HOST_MICROS));
    }
  }

  /**
   * Marks all registrations as removed before a full list is read; those that still exist are
   * registered again.
   */
  void deregisterAll(long now) {
    Set.copyOf(addresses.keySet()).forEach(host -> deregister(host, now));
  }

  /** Returns the peer addresses of the registered hosts, by host name. */
  Map<String, String> addresses() {
    return addresses;
  }

  /** Returns the capacities of the registered hosts, by host name. */
  Map<String, HostCapacity> capacities() {
    return capacities;
  }

  /** Returns the failure domain of a host that is or was registered; empty if it is unknown. */
  String domainOf(String host) {
    return domains.getOrDefault(host, "");
  }

  /** Returns the capacities of the registered hosts of a failure domain, by host name. */
  Map<String, HostCapacity> capacitiesIn(String domain) {
    Map<String, HostCapacity> found = new HashMap<>(capacities);
    found.keySet().removeIf(host -> !domainOf(host).equals(domain));
    return found;
  }

  /** Returns the peer addresses of the hosts that are registered or were until recently. */
  Map<String, String> reachable(long now) {
    deregistered.values().removeIf(each -> each.until() <= now);
    domains
        .keySet()
        .removeIf(host -> !addresses.containsKey(host) && !deregistered.containsKey(host));
    if (deregistered.isEmpty()) {
      return addresses;
    }
    Map<String, String> all = new LinkedHashMap<>(addresses);
    Set<String> used = new HashSet<>(addresses.values());
    deregistered.forEach(
        (host, each) -> {
          if (used.add(each.address())) {
            all.put(host, each.address());
          }
        });
    return all;
  }
}
