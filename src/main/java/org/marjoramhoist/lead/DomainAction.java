package org.marjoramhoist.lead;

/** What the election of a domain's leader asks for. Immutable and safe for several threads. */
public sealed interface DomainAction {

  /** Send heartbeats to the hosts of the failure domain. */
  record StartCandidacy() implements DomainAction {}

  /** Begin to lead the failure domain. */
  record BecomeLeader() implements DomainAction {}

  /** Refuse what has not begun, tell the hosts of the domain, and start nothing more. */
  record HandOver(String successor) implements DomainAction {}

  /** Stop leading or standing, and send no more heartbeats. */
  record StepDown(String reason) implements DomainAction {}
}
