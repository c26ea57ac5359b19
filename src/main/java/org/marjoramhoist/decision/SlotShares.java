package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostId;

/**
 * Splits the slots of each worker among the entry hosts that use it.
 *
 * <p>A worker is used by the hosts of its own failure domain; if that has none, by all hosts. Each
 * host's weight follows its demand. Every host that has heard the same heartbeats comes to the same
 * split; a transient difference offers a worker too much, which its guard refuses. Stateless.
 */
final class SlotShares {

  private static final double BASE_WEIGHT = 1;

  private SlotShares() {}

  /** A host that may use a worker. */
  record Sharer(HostId host, DomainId domain, Map<String, Integer> demand) {

    double weight(String upstream) {
      return BASE_WEIGHT + demand.getOrDefault(upstream, 0);
    }
  }

  /** Sets this host's share of every worker of the upstream. */
  static void apply(long now, UpstreamState upstream, HostId self, List<Sharer> hosts) {
    for (WorkerState worker : upstream.pool().workers()) {
      List<Sharer> sharers = sharersOf(worker, hosts);
      int share = shareOf(worker, upstream.id().value(), self, sharers);
      if (share != worker.share()) {
        worker.setShare(share);
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

  /** Splits by largest remainder; the order of hosts differs from worker to worker. */
  private static int shareOf(
      WorkerState worker, String upstream, HostId self, List<Sharer> sharers) {
    int slots = worker.spec().slots();
    double total = sharers.stream().mapToDouble(host -> host.weight(upstream)).sum();
    int given = 0;
    int own = -1;
    double ownFraction = 0;
    for (Sharer host : sharers) {
      double exact = slots * host.weight(upstream) / total;
      given += (int) exact;
      if (host.host.equals(self)) {
        own = (int) exact;
        ownFraction = exact - own;
      }
    }
    if (own < 0) {
      return 0;
    }
    int ahead = 0;
    for (Sharer host : sharers) {
      double exact = slots * host.weight(upstream) / total;
      if (!host.host.equals(self)
          && goesFirst(worker, host.host, exact - (int) exact, self, ownFraction)) {
        ahead++;
      }
    }
    return ahead < slots - given ? own + 1 : own;
  }

  private static boolean goesFirst(
      WorkerState worker, HostId other, double fraction, HostId self, double ownFraction) {
    if (fraction != ownFraction) {
      return fraction > ownFraction;
    }
    String key = worker.id().value();
    return Shards.preference(key).compare(other, self) < 0;
  }
}
