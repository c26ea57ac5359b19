package org.marjoramhoist.lead;

import java.util.Map;

/**
 * An input of {@link Election}.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface ElectionEvent {

  /** The registered hosts and their capacities as leader. */
  record HostsListed(Map<String, HostCapacity> hosts) implements ElectionEvent {}

  /**
   * The leader record was read, or a watch reported a change.
   *
   * @param revision the revision of the record, or of the store if there is no record
   * @param record the record; null if there is none
   * @param requestedAt when the read was requested; 0 for a change reported by the watch, which may
   *     be out of date
   */
  record RecordRead(long revision, LeaderRecord record, long requestedAt)
      implements ElectionEvent {}

  /** A leader's heartbeat was received. */
  record HeartbeatReceived(long term, String host) implements ElectionEvent {}

  /** Another host reported the highest term that it knows and its leader. */
  record TermReported(long term, String host) implements ElectionEvent {}

  /** The connection to the leader of a term was lost. */
  record LeaderLinkLost(long term) implements ElectionEvent {}

  /** The leader of a term asks this host to succeed it. */
  record HandOverRequested(long term) implements ElectionEvent {}

  /**
   * The other hosts were polled on whether they are in contact with the leader.
   *
   * @param answered the number of hosts that answered, or that are known to have no process
   * @param leaderAlive whether any of them is in contact with a leader
   * @param leaderRefuses whether the suspected leader refuses connections, as after the end of its
   *     process or behind a cut
   * @param leaderStopped whether the suspected leader replied that it leads no more
   */
  record HostsPolled(
      int answered, boolean leaderAlive, boolean leaderRefuses, boolean leaderStopped)
      implements ElectionEvent {}

  /** The record was written with this host's name. */
  record RecordAcquired(long revision) implements ElectionEvent {}

  /** An attempt to write the record failed, or its result is unknown; the record must be read. */
  record AcquireFailed() implements ElectionEvent {}

  /**
   * A host confirmed a heartbeat of this leader.
   *
   * @param host the host
   * @param sentAt when the heartbeat was sent
   */
  record HeartbeatConfirmed(String host, long sentAt) implements ElectionEvent {}

  /** The lease of the record has expired, which removed the record. */
  record RecordExpired() implements ElectionEvent {}

  /** This host must stop leading, for example because a later term exists. */
  record StepDownRequired(String reason) implements ElectionEvent {}

  /** This host is shutting down: it starts no new term, but keeps leading in the current one. */
  record ShutdownStarted() implements ElectionEvent {}

  /** Time has passed. */
  record Tick() implements ElectionEvent {}
}
