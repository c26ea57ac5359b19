package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.message.HostMessage.DomainWorkers;

/**
 * The lists of workers, by failure domain, that a partition's leader sends to the hosts of each
 * domain, so that an isolated domain can continue on its own. Only changes are sent, without the
 * warm-up times of the workers, which would be out of date when the list is used.
 *
 * <p>Confined to the event loop's thread.
 */
final class DomainWorkerLists {

  private final Map<String, List<WorkerInfo>> byDomain = new HashMap<>();
  private final Map<String, List<WorkerInfo>> sent = new HashMap<>();

  /** Updates the lists from all workers of the partition. */
  void update(List<WorkerInfo> workers) {
    Map<String, List<WorkerInfo>> next = new HashMap<>();
    for (WorkerInfo worker : workers) {
      next.computeIfAbsent(worker.failureDomain(), domain -> new ArrayList<>())
          .add(worker.withoutTimes());
    }
    byDomain.keySet().retainAll(next.keySet());
    // Keeps the same object for an unchanged list; pendingUpdate compares by identity.
    next.forEach(
        (domain, list) -> byDomain.merge(domain, list, (old, now) -> old.equals(now) ? old : now));
  }

  /** Returns the workers of a failure domain. */
  List<WorkerInfo> of(String domain) {
    return byDomain.getOrDefault(domain, List.of());
  }

  /** Returns the list that must be sent to a host now; empty if the host has it. */
  Optional<DomainWorkers> pendingUpdate(String host, String domain) {
    List<WorkerInfo> list = of(domain);
    if (list.isEmpty() || sent.put(host, list) == list) {
      return Optional.empty();
    }
    return Optional.of(new DomainWorkers(list));
  }

  /** Discards what was sent to a host, as a host with a new link may have restarted. */
  void forget(String host) {
    sent.remove(host);
  }
}
