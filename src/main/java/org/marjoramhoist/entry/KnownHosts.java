package org.marjoramhoist.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.lead.HostCapacity;

/**
 * The hosts that are registered, and those that lately were.
 *
 * <p>A host whose registration is gone may live on: the store may have ended its lease and turn it
 * away. A leader still keeps a link to it for a time, so that its callers are served.
 *
 * <p>Invariant: no two hosts of {@link #reachable} have one address. Confined to one thread.
 */
final class KnownHosts {

  /** How long a host whose registration is gone is still tried. */
  private static final long DEREGISTERED_HOST_MICROS = 30_000_000;

  private record DeregisteredHost(String address, long until) {}

  private final Map<String, String> addresses = new LinkedHashMap<>();
  private final Map<String, HostCapacity> capacities = new HashMap<>();
  private final Map<String, String> domains = new HashMap<>();
  private final Map<String, DeregisteredHost> deregistered = new LinkedHashMap<>();

  /** Takes in a registration. */
  void register(String host, String address, String domain, HostCapacity capacity) {
    addresses.put(host, address);
    domains.put(host, domain);
    capacities.put(host, capacity);
    deregistered.remove(host);
  }

  /** Takes in that a registration is gone. */
  void deregister(String host, long now) {
    String address = addresses.remove(host);
    capacities.remove(host);
    if (address != null) {
      deregistered.put(host, new DeregisteredHost(address, now + DEREGISTERED_HOST_MICROS));
    }
  }

  /** Takes in that all registrations are gone; those that are not will be told again. */
  void deregisterAll(long now) {
    Set.copyOf(addresses.keySet()).forEach(host -> deregister(host, now));
  }

  /** Returns the peer addresses of the registered hosts, by their names. */
  Map<String, String> addresses() {
    return addresses;
  }

  /** Returns what the registered hosts could carry as leader, by their names. */
  Map<String, HostCapacity> capacities() {
    return capacities;
  }

  /** Returns the failure domain of a host that is or was registered; empty if none is known. */
  String domainOf(String host) {
    return domains.getOrDefault(host, "");
  }

  /** Returns what the registered hosts of a failure domain could carry as leader. */
  Map<String, HostCapacity> capacitiesIn(String domain) {
    Map<String, HostCapacity> found = new HashMap<>(capacities);
    found.keySet().removeIf(host -> !domainOf(host).equals(domain));
    return found;
  }

  /** Returns the peer addresses of the hosts that are or lately were registered. */
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
