package org.marjoramhoist.lead;

import java.util.Map;

/** What the election hears. Immutable and safe for use by several threads. */
public sealed interface ElectionEvent {

  /** The hosts that are registered, and what each could carry as leader. */
  record HostsListed(Map<String, HostCapacity> hosts) implements ElectionEvent {}

  /**
   * The record was read, or a change of it was heard.
   *
   * @param revision the revision of the record, or of the store if there is none
   * @param record the record; null if there is none
   * @param requestedAt when it was asked for; 0 if it was not, so that it may be out of date
   */
  record RecordRead(long revision, LeaderRecord record, long requestedAt)
      implements ElectionEvent {}

  /** A leader was heard. */
  record HeartbeatReceived(long term, String host) implements ElectionEvent {}

  /** Another host tells of the highest term that it knows of and its leader. */
  record TermReported(long term, String host) implements ElectionEvent {}

  /** The connection to the leader of a term broke. */
  record LeaderLinkLost(long term) implements ElectionEvent {}

  /** The leader of a term stops in an orderly way and asks this host to follow it. */
  record HandOverRequested(long term) implements ElectionEvent {}

  /**
   * The other hosts were asked whether they hear the leader.
   *
   * @param answered how many answered, or are known to have no process
   * @param leaderAlive whether any of them hears a leader
   * @param leaderStopped whether the leader's process is known to have ended
   */
  record HostsPolled(int answered, boolean leaderAlive, boolean leaderStopped)
      implements ElectionEvent {}

  /** The record was changed to name this host. */
  record RecordAcquired(long revision) implements ElectionEvent {}

  /** An attempt to change the record failed, or may have; the record is to be read back. */
  record AcquireFailed() implements ElectionEvent {}

  /**
   * A host confirmed a heartbeat of this leader.
   *
   * @param host the host
   * @param sentAt when the heartbeat was sent
   */
  record HeartbeatConfirmed(String host, long sentAt) implements ElectionEvent {}

  /** The lease of the record has ended, and with it the record. */
  record RecordExpired() implements ElectionEvent {}

  /** This host was found to be out of date. */
  record StepDownRequired(String reason) implements ElectionEvent {}

  /** This host is stopping: it takes no new term, but goes on with the present one. */
  record ShutdownStarted() implements ElectionEvent {}

  /** Time has passed. */
  record Tick() implements ElectionEvent {}
}
