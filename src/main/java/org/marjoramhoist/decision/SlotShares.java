package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.List;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostId;

/**
 * Splits the slots of each worker among the entry hosts that use it.
 *
 * <p>A worker is shared in equal parts by the hosts of its own failure domain; if that has none, by
 * all hosts. What a host leaves free it lends to others ({@link SlotLending}). Every host that
 * hears the same others comes to the same split; a transient difference offers a worker too much,
 * which its guard refuses. Stateless.
 */
final class SlotShares {

  private SlotShares() {}

  /** A host that may use a worker. */
  record Sharer(HostId host, DomainId domain) {}

  /** Sets this host's share of every worker of the upstream. */
  static void apply(long now, UpstreamState upstream, HostId self, List<Sharer> hosts) {
    for (WorkerState worker : upstream.pool().workers()) {
      List<Sharer> sharers = sharersOf(worker, hosts);
      int share = shareOf(worker, self, sharers);
      if (share != worker.base()) {
        worker.setBase(share);
        upstream.pool().refresh(now, worker);
      }
    }
  }

  private static List<Sharer> sharersOf(WorkerState worker, List<Sharer> hosts) {
    List<Sharer> local = new ArrayList<>();
    for (Sharer host : hosts) {
      if (host.domain.equals(worker.spec().domain())) {
        local.add(host);
      }
    }
    return local.isEmpty() ? hosts : local;
  }

  /** Splits evenly; which hosts get one slot more differs from worker to worker. */
  private static int shareOf(WorkerState worker, HostId self, List<Sharer> sharers) {
    String key = worker.id().value();
    int ahead = 0;
    boolean included = false;
    for (Sharer host : sharers) {
      included |= host.host.equals(self);
      boolean first = Shards.preference(key).compare(host.host, self) < 0;
      ahead += first ? 1 : 0;
    }
    if (!included) {
      return 0;
    }
    int slots = worker.spec().slots();
    int rest = slots % sharers.size();
    return slots / sharers.size() + (ahead < rest ? 1 : 0);
  }
}
