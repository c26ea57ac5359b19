package org.marjoramhoist.entry;

import java.util.List;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage.DomainState;

/**
 * Transfers state between the hosts of an isolated failure domain, to a host that started during
 * the isolation and could not read the store.
 *
 * <p>Invariant: a host that has reached the store since it started adopts no state of another host.
 * Confined to the event loop's thread.
 */
final class DomainStateTransfer {

  private final Election election;
  private final HostRegistration registration;
  private final ConfigWatch config;

  DomainStateTransfer(Election election, HostRegistration registration, ConfigWatch config) {
    this.election = election;
    this.registration = registration;
    this.config = config;
  }

  /** Returns whether this host needs the state of another host, as it knows no other host. */
  boolean needsState() {
    return !registration.storeHasEverResponded() && registration.hasNoKnownHosts();
  }

  /**
   * Returns this host's state for another host of the failure domain.
   *
   * @param workers the workers of the failure domain
   */
  DomainState currentState(List<WorkerInfo> workers) {
    return new DomainState(
        election.knownTerm(),
        election.knownLeader(),
        registration.knownHosts(),
        workers,
        config.text());
  }

  /**
   * Adopts the state of another host if this host needs it.
   *
   * @return whether the state was adopted
   */
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
    registration.importState(state);
    if (!state.config().isEmpty()) {
      config.applyIfNewer(state.config(), "host of the failure domain");
    }
    return true;
  }
}
