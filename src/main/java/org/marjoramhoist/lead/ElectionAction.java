package org.marjoramhoist.lead;

/** What the election asks for. Immutable and safe for use by several threads. */
public sealed interface ElectionAction {

  /** Ask the other registered hosts whether they hear the leader. */
  record PollHosts() implements ElectionAction {}

  /** Read the record. */
  record ReadRecord() implements ElectionAction {}

  /** Change the record to name this host, if its revision is still the given one; 0 if absent. */
  record AcquireRecord(long expectedRevision) implements ElectionAction {}

  /**
   * Begin to lead.
   *
   * @param term the term
   * @param previousLeaderStopped whether the process of the earlier leader is known to have ended
   */
  record BecomeLeader(long term, boolean previousLeaderStopped) implements ElectionAction {}

  /** Stop leading. */
  record StepDown(long term, String reason) implements ElectionAction {}
}
