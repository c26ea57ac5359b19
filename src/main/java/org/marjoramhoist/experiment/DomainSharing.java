package org.marjoramhoist.experiment;

import java.util.HashSet;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/**
 * Which failure domains leaders in virtual time take for shared with another leader, as the
 * elections of hosts tell them.
 *
 * <p>Confined to one thread.
 */
final class DomainSharing {

  /** How long hosts go without the leader's heartbeats before they elect another one. */
  private static final long SUSPICION = 450_000;

  /** How long the partition's leader may start runs after hosts confirmed it last. */
  private static final long START_TIMEOUT = 400_000;

  /** How long a run may go on after the last order of its leader. */
  private static final long RUN = 1_300_000;

  /** How long the leader of a domain may give orders after its hosts confirmed it last. */
  private static final long CONTACT = 600_000;

  private final VirtualTime time;
  private final UnaryOperator<String> domainOf;
  private final Set<String> cutDomains = new HashSet<>();
  private boolean isCut;
  private long cutSince;
  private long healedAt;

  /**
   * Creates the state of a fleet without cuts.
   *
   * @param domainOf returns the failure domain of a worker
   */
  DomainSharing(VirtualTime time, UnaryOperator<String> domainOf) {
    this.time = time;
    this.domainOf = domainOf;
  }

  private Set<String> domainsOf(Set<String> workers) {
    return workers.stream().map(domainOf).collect(Collectors.toSet());
  }

  /** Cuts off the hosts of the failure domains of workers. */
  void cut(Set<String> workers) {
    if (!isCut) {
      isCut = true;
      cutSince = time.now();
    }
    cutDomains.addAll(domainsOf(workers));
  }

  /** Ends all cuts. */
  void healed() {
    isCut = false;
    healedAt = time.now();
  }

  /** Returns the domains that the leader of a domain's workers takes for shared. */
  Set<String> forDomain(Set<String> workers, long termStart) {
    long elected = Math.max(termStart, cutSince + SUSPICION);
    return time.now() > elected + RUN ? Set.of() : domainsOf(workers);
  }

  /** Returns the domains that the leader of the partition takes for shared. */
  Set<String> forPartition(long termStart) {
    long now = time.now();
    if (!isCut && now >= healedAt + CONTACT + RUN) {
      cutDomains.clear();
    }
    if (now < termStart + CONTACT + RUN) {
      return Set.copyOf(DispatchLoad.FAILURE_DOMAINS);
    }
    boolean noticed = !isCut || now >= cutSince + START_TIMEOUT;
    return noticed ? Set.copyOf(cutDomains) : Set.of();
  }
}
