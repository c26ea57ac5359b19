package org.marjoramhoist.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tells the partition's leader in which failure domains no other leader can be using the workers.
 *
 * <p>The hosts of a failure domain that is cut off elect a leader of their own with a majority. A
 * host that has confirmed a heartbeat within the start timeout accepts no such leader, since that
 * timeout is shorter than the silence after which a host takes its domain for isolated. So as long
 * as half of the hosts of a domain confirm, nobody else leads it. A domain with a single host needs
 * no confirmation: such a host has no majority to ask, and its leadership is never exclusive.
 *
 * <p>Invariants: a domain counts as shared from the moment at which another leader could be elected
 * for it, until everything that such a leader may have ordered is over. While it does, hosts that
 * are no longer registered still count. Confined to one thread.
 */
public final class DomainExclusivity {

  /** The contact with the hosts of a failure domain. */
  private static final class Domain {
    private final Set<String> hosts = new HashSet<>();

    /** When another leader's orders are over; null while one may be elected. */
    private Long exclusiveFrom;

    private boolean isShared(long now) {
      return hosts.size() > 1 && (exclusiveFrom == null || now < exclusiveFrom);
    }
  }

  private final String self;
  private final long confirmationMicros;
  private final long ordersOverMicros;
  private final Map<String, Long> confirmedAt = new HashMap<>();
  private final Map<String, Domain> domains = new HashMap<>();
  private Set<String> shared = Set.of();

  /** Until when no passing of time changes anything. */
  private long unchangedUntil;

  /**
   * Creates the state of a term.
   *
   * @param self this host, which leads the partition
   * @param timeouts the timeouts of the elections
   * @param runMicros how long a run may go on after the last order of its leader
   */
  public DomainExclusivity(String self, ElectionTimeouts timeouts, long runMicros) {
    this.self = self;
    this.confirmationMicros = timeouts.startTimeoutMicros();
    this.ordersOverMicros = timeouts.contactTimeoutMicros() + runMicros;
  }

  /**
   * Sets the hosts that are or recently were registered.
   *
   * @param domainOfHost the failure domain of each host, including this one
   */
  public void hostsListed(long now, Map<String, String> domainOfHost) {
    update(now);
    for (Domain domain : domains.values()) {
      if (domain.exclusiveFrom != null) {
        domain.hosts.retainAll(domainOfHost.keySet());
      }
    }
    domainOfHost.forEach(
        (host, name) -> domains.computeIfAbsent(name, key -> new Domain()).hosts.add(host));
    recompute(now);
  }

  /** Handles a host's confirmation of a heartbeat that was sent at a time. */
  public void heartbeatConfirmed(long now, String host, long sentAt) {
    update(now);
    boolean wasConfirmed = isConfirmed(host, now);
    confirmedAt.merge(host, sentAt, Math::max);
    if (!wasConfirmed) {
      recompute(now);
    }
  }

  /** Returns the failure domains whose workers another leader may be using. */
  public Set<String> sharedDomains(long now) {
    update(now);
    return shared;
  }

  private void update(long now) {
    if (now >= unchangedUntil) {
      recompute(now);
    }
  }

  private void recompute(long now) {
    domains.values().forEach(domain -> updateContact(domain, now));
    shared =
        domains.entrySet().stream()
            .filter(each -> each.getValue().isShared(now))
            .map(Map.Entry::getKey)
            .collect(Collectors.toUnmodifiableSet());
    unchangedUntil = nextChange(now);
  }

  private void updateContact(Domain domain, long now) {
    long confirmed = domain.hosts.stream().filter(host -> isConfirmed(host, now)).count();
    if (2 * confirmed < domain.hosts.size()) {
      domain.exclusiveFrom = null;
    } else if (domain.exclusiveFrom == null) {
      domain.exclusiveFrom = now + ordersOverMicros;
    }
  }

  /** Returns when a confirmation or the wait for another leader's orders ends next. */
  private long nextChange(long now) {
    long next = Long.MAX_VALUE;
    for (long sentAt : confirmedAt.values()) {
      next = earlier(next, sentAt + confirmationMicros + 1, now);
    }
    for (Domain domain : domains.values()) {
      next = domain.exclusiveFrom == null ? next : earlier(next, domain.exclusiveFrom, now);
    }
    return next;
  }

  private static long earlier(long next, long candidate, long now) {
    return candidate > now ? Math.min(next, candidate) : next;
  }

  private boolean isConfirmed(String host, long now) {
    Long sentAt = confirmedAt.get(host);
    return host.equals(self) || sentAt != null && now <= sentAt + confirmationMicros;
  }
}
