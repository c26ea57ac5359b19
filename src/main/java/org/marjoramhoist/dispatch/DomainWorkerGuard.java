package org.marjoramhoist.dispatch;

import java.util.Collection;
import java.util.Optional;

/**
 * Decides whether the leader of an isolated failure domain may use the domain's workers, and
 * whether it must step down because another leader uses them.
 *
 * <p>The partition's leader may still reach the domain's workers although the domain's hosts cannot
 * reach the leader. Only the hosts are isolated then, and the work must not be disturbed. Nothing
 * is therefore started before the active runs have completed, or have expired without being
 * renewed. A successor of a leader of the domain that has handed over need not wait, as its
 * predecessor did: the predecessor's runs only block their own workers. Confined to one thread.
 */
final class DomainWorkerGuard {

  /**
   * The longest time until runs of other leaders are over: a lease, its margins and the delay of
   * some reports.
   */
  private static final long SETTLE_TIMEOUT_MICROS = 1_600_000;

  private final long termStart;
  private final boolean handedOver;
  private boolean settled;

  /**
   * Creates the guard of a term.
   *
   * @param termStart the start of the term
   * @param handedOver whether the previous leader of the domain used the workers and has handed
   *     over
   */
  DomainWorkerGuard(long termStart, boolean handedOver) {
    this.termStart = termStart;
    this.handedOver = handedOver;
  }

  /** Tells whether runs may be started; once true, it stays so. */
  boolean mayStart(Collection<Worker> workers) {
    settled = settled || areIdle(workers);
    return settled || handedOver;
  }

  /**
   * Tells whether the workers were found free of other leaders' runs, by this leader or by its
   * predecessor.
   */
  boolean isSettled() {
    return settled || handedOver;
  }

  private static boolean areIdle(Collection<Worker> workers) {
    boolean anyReachable = false;
    for (Worker worker : workers) {
      if (!worker.isReachable()) {
        continue;
      }
      if (!worker.synced || !worker.foreignRuns.isEmpty()) {
        return false;
      }
      anyReachable = true;
    }
    return anyReachable;
  }

  /** Returns why the leader must step down; empty if it need not. */
  Optional<String> stepDownReason(Collection<Worker> workers, long now) {
    if (!settled) {
      return now - termStart > SETTLE_TIMEOUT_MICROS
          ? Optional.of("the domain's workers are at work for another leader, or don't answer")
          : Optional.empty();
    }
    return workers.stream()
        .filter(worker -> !worker.foreignRuns.isEmpty())
        .findFirst()
        .map(worker -> "worker " + worker.id() + " is at work for another leader");
  }
}
