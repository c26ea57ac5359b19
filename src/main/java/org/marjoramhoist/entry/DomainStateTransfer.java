package org.marjoramhoist.entry;

import java.util.List;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage.DomainState;

/**
 * The state that hosts of a failure domain pass to one that was started while the domain was cut
 * off and so could not read the store.
 *
 * <p>Invariant: nothing is taken over by a host that the store has answered since it started.
 * Confined to the loop's thread.
 */
final class DomainStateTransfer {

  private final Election election;
  private final HostRegistration store;
  private final ConfigWatch config;

  DomainStateTransfer(Election election, HostRegistration store, ConfigWatch config) {
    this.election = election;
    this.store = store;
    this.config = config;
  }

  /** Tells whether this host must be told, as it knows no host. */
  boolean needsState() {
    return !store.storeHasEverResponded() && store.hasNoKnownHosts();
  }

  /** Returns what this host knows, with the workers of its failure domain. */
  DomainState currentState(List<WorkerInfo> workers) {
    return new DomainState(
        election.knownTerm(), election.knownLeader(), store.knownHosts(), workers, config.text());
  }

  /** Takes over what another host knows; tells whether it did. */
  boolean adopt(DomainState state) {
    if (!needsState()) {
      return false;
    }
    EventLog.info(
        LogEvent.DOMAIN_STATE_LEARNED,
        "term={} hosts={} workers={}",
        state.term(),
        state.hosts().size(),
        state.workers().size());
    store.importState(state);
    if (!state.config().isEmpty()) {
      config.applyIfNewer(state.config(), "host of the failure domain");
    }
    return true;
  }
}
