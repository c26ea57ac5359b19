package org.marjoramhoist.lead;

/** What the election of a domain's leader asks for. Immutable and safe for several threads. */
public sealed interface LocalAction {

  /** Send heartbeats to the hosts of the failure domain. */
  record Stand() implements LocalAction {}

  /** Begin to lead the failure domain. */
  record Lead() implements LocalAction {}

  /** Stop leading or standing, and send no more heartbeats. */
  record StepDown(String reason) implements LocalAction {}
}
