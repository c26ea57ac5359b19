package org.marjoramhoist.dispatch;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.log.LogEvent;

/**
 * The failure domains that the operator drains.
 *
 * <p>Invariant: nothing is started before they are known, and nothing is started on a worker of a
 * drained domain. Confined to one thread.
 */
final class DomainDrains {

  /** The reason for refusing a job that only workers of drained domains could run. */
  static final String ONLY_DRAINED_DOMAINS = "only drained failure domains could run it";

  private Set<String> domains = Set.of();
  private boolean known;

  /** The drained domains that were logged as idle. */
  private final Set<String> loggedIdle = new HashSet<>();

  void set(Set<String> next) {
    known = true;
    domains = next;
    loggedIdle.retainAll(next);
  }

  /** Tells whether the drained domains are known. */
  boolean isKnown() {
    return known;
  }

  boolean isEmpty() {
    return domains.isEmpty();
  }

  boolean covers(WorkerInfo worker) {
    return domains.contains(worker.failureDomain());
  }

  /**
   * Logs, once for each drain, that no task is running in a drained domain.
   *
   * @param workers all workers that may have running tasks
   */
  void logIdle(Collection<Worker> workers, List<DispatchAction> out) {
    if (loggedIdle.size() == domains.size()) {
      return;
    }
    for (String domain : new TreeSet<>(domains)) {
      if (areIdle(workers, domain) && loggedIdle.add(domain)) {
        out.add(new Log(LogEvent.DOMAIN_IDLE, "domain=" + domain));
      }
    }
  }

  private static boolean areIdle(Collection<Worker> workers, String domain) {
    return workers.stream()
        .filter(worker -> worker.info().failureDomain().equals(domain))
        .allMatch(DomainDrains::isIdle);
  }

  private static boolean isIdle(Worker worker) {
    return worker.synced && worker.runs.isEmpty() && worker.foreignRuns.isEmpty();
  }

  /** Returns the counts for a snapshot. */
  DispatchSnapshot.Drain snapshot(Collection<Worker> workers) {
    int count = 0;
    int runs = 0;
    for (Worker worker : workers) {
      if (covers(worker.info())) {
        count++;
        runs += worker.runs.size() + worker.foreignRuns.size();
      }
    }
    return new DispatchSnapshot.Drain(known, List.copyOf(new TreeSet<>(domains)), count, runs);
  }
}
