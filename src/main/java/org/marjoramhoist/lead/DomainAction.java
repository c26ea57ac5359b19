package org.marjoramhoist.lead;

/**
 * An action requested by {@link DomainElection}.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface DomainAction {

  /** Become a candidate: send heartbeats to the hosts of the failure domain. */
  record StartCandidacy() implements DomainAction {}

  /** Start leading the failure domain. */
  record BecomeLeader() implements DomainAction {}

  /** Refuse the jobs that have not started, notify the domain's hosts, and start no more runs. */
  record HandOver(String successor) implements DomainAction {}

  /** Stop leading or end the candidacy, and send no more heartbeats. */
  record StepDown(String reason) implements DomainAction {}
}
