package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.message.HostMessage.DomainWorkers;

/**
 * What a partition's leader tells each host of the workers in the host's failure domain, so that
 * the domain can go on by itself while it is cut off. Only changes are told, without the time that
 * a worker needs to warm up: that would be out of date when the list is used.
 *
 * <p>Confined to the loop's thread.
 */
final class DomainWorkerLists {

  private final Map<String, List<WorkerInfo>> byDomain = new HashMap<>();
  private final Map<String, List<WorkerInfo>> sent = new HashMap<>();

  /** Takes in all workers. */
  void update(List<WorkerInfo> workers) {
    Map<String, List<WorkerInfo>> next = new HashMap<>();
    for (WorkerInfo worker : workers) {
      next.computeIfAbsent(worker.failureDomain(), domain -> new ArrayList<>())
          .add(worker.withoutWarmUp());
    }
    byDomain.keySet().retainAll(next.keySet());
    // A list that did not change stays the same object.
    next.forEach(
        (domain, list) -> byDomain.merge(domain, list, (old, now) -> old.equals(now) ? old : now));
  }

  /** Returns the workers of a failure domain. */
  List<WorkerInfo> of(String domain) {
    return byDomain.getOrDefault(domain, List.of());
  }

  /** Returns what a host is to be told now; empty if it knows. */
  Optional<DomainWorkers> pendingUpdate(String host, String domain) {
    List<WorkerInfo> list = of(domain);
    if (list.isEmpty() || sent.put(host, list) == list) {
      return Optional.empty();
    }
    return Optional.of(new DomainWorkers(list));
  }

  /** Takes in that it is not known what a host was told, as its link is new. */
  void forget(String host) {
    sent.remove(host);
  }
}
