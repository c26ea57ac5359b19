package org.marjoramhoist.dispatch;

import java.util.Collection;
import java.util.Optional;

/**
 * Whether the leader of a failure domain that is cut off may use the domain's workers, and whether
 * it must give up as another leader uses them.
 *
 * <p>The partition's leader may still reach the domain's workers though the domain's hosts do not
 * hear it: then only they are cut off, and the work must not be disturbed. So nothing is started
 * before the runs that were at work have ended or lapsed without anyone renewing them. After a
 * leader of the domain that has handed over, which had waited for that, its runs bar only their own
 * workers. Confined to one thread.
 */
final class DomainWorkerGuard {

  /** The longest time for runs of others to end: a lease, its margins and some looks. */
  private static final long SETTLE_TIMEOUT_MICROS = 1_600_000;

  private final long termStart;
  private final boolean handedOver;
  private boolean settled;

  /**
   * Creates the guard of a term.
   *
   * @param since the start of the term
   * @param handedOver whether the leader before used the workers and starts nothing any more
   */
  DomainWorkerGuard(long since, boolean handedOver) {
    this.termStart = since;
    this.handedOver = handedOver;
  }

  /** Tells whether runs may be started; once true, it stays so. */
  boolean mayStart(Collection<Worker> workers) {
    settled = settled || areIdle(workers);
    return settled || handedOver;
  }

  /** Tells whether the workers were found free of others' runs. */
  boolean isSettled() {
    return settled || handedOver;
  }

  private static boolean areIdle(Collection<Worker> workers) {
    boolean anyAnswered = false;
    for (Worker worker : workers) {
      if (!worker.isReachable()) {
        continue;
      }
      if (!worker.synced || !worker.foreignRuns.isEmpty()) {
        return false;
      }
      anyAnswered = true;
    }
    return anyAnswered;
  }

  /** Returns why the leader must give up; empty if it need not. */
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
