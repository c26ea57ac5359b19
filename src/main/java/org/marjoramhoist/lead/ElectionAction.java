package org.marjoramhoist.lead;

/**
 * An action requested by {@link Election}.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface ElectionAction {

  /** Poll the other hosts on whether they are in contact with the leader. */
  record PollHosts() implements ElectionAction {}

  /** Read the leader record. */
  record ReadRecord() implements ElectionAction {}

  /**
   * Write the leader record with this host's name, if its revision is unchanged.
   *
   * @param expectedRevision the expected revision; 0 if there must be no record
   */
  record AcquireRecord(long expectedRevision) implements ElectionAction {}

  /**
   * Start leading.
   *
   * @param term the term
   * @param previousLeaderStopped whether the previous leader's process is known to have stopped
   */
  record BecomeLeader(long term, boolean previousLeaderStopped) implements ElectionAction {}

  /** Stop leading. */
  record StepDown(long term, String reason) implements ElectionAction {}
}
