package org.marjoramhoist.lead;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.lead.ElectionEvent.AcquireFailed;
import org.marjoramhoist.lead.ElectionEvent.HandOverRequested;
import org.marjoramhoist.lead.ElectionEvent.HeartbeatConfirmed;
import org.marjoramhoist.lead.ElectionEvent.HeartbeatReceived;
import org.marjoramhoist.lead.ElectionEvent.HostsListed;
import org.marjoramhoist.lead.ElectionEvent.HostsPolled;
import org.marjoramhoist.lead.ElectionEvent.LeaderLinkLost;
import org.marjoramhoist.lead.ElectionEvent.RecordAcquired;
import org.marjoramhoist.lead.ElectionEvent.RecordExpired;
import org.marjoramhoist.lead.ElectionEvent.RecordRead;
import org.marjoramhoist.lead.ElectionEvent.ShutdownStarted;
import org.marjoramhoist.lead.ElectionEvent.StepDownRequired;
import org.marjoramhoist.lead.ElectionEvent.TermReported;
import org.marjoramhoist.lead.ElectionEvent.Tick;

/**
 * The election state machine of one host, which elects the partition's leader.
 *
 * <p>Invariants: a host leads only under a record that it wrote itself; the record's revision is
 * its term. It tries to replace a leader only if it gets no heartbeats from it, no host that
 * answers does, and more than half of the {@link VoterSet} answered; with fewer answers, only once
 * the record has expired. A wrong suspicion is harmless, because workers obey only the highest
 * term. Confined to one thread.
 */
public final class Election {

  private static final long POLL_BACKOFF_MICROS = 200_000;
  private static final long ACQUIRE_BACKOFF_MICROS = 150_000;
  private static final long RECORD_READ_INTERVAL_MICROS = 100_000;

  private final String self;
  private final long incarnation;
  private final ElectionTimeouts timeouts;
  private final Map<String, Long> confirmedAt = new HashMap<>();

  private final VoterSet voters;
  private boolean recordKnown;
  private long recordRevision;
  private long term;
  private LeaderRecord record;
  private long heartbeatReceivedAt;
  private long suspectedAt;
  private boolean polling;
  private boolean acquiring;
  private boolean shuttingDown;
  private long nextAttemptAt;
  private long leadingTerm;
  private long lastLedTerm;
  private long leadingSince;
  private long acquireRequestedAt;
  private long recordConfirmedAt;
  private long recordRequestedAt;
  private long majorityConfirmedAt;
  private boolean previousLeaderStopped;

  /**
   * Creates the state machine of a host.
   *
   * @param self the host
   * @param incarnation distinguishes this run of the host's process from earlier ones
   * @param timeouts the timeouts
   * @param now the present time in microseconds
   */
  public Election(String self, long incarnation, ElectionTimeouts timeouts, long now) {
    this.self = self;
    this.incarnation = incarnation;
    this.voters = new VoterSet(self);
    this.timeouts = timeouts;
    this.heartbeatReceivedAt = now;
  }

  /** Returns the term in which this host leads; 0 if it does not lead. */
  public long leadingTerm() {
    return leadingTerm;
  }

  /** Returns whether this host leads, or has a connection to a leader that is alive. */
  public boolean canReachLeader(long now) {
    return leadingTerm != 0 || suspectedAt == 0 && isLeaderAlive(now);
  }

  /**
   * Returns whether this host leads, or received a heartbeat of the leader within the suspicion
   * timeout. A broken connection does not count as a sign that the leader failed.
   */
  public boolean isLeaderAlive(long now) {
    return leadingTerm != 0 || now - heartbeatReceivedAt < timeouts.suspicionTimeoutMicros();
  }

  /**
   * Returns whether this host leads and may send orders to workers: within the contact timeout,
   * either most hosts confirmed a heartbeat or the record was confirmed to name this host.
   */
  public boolean mayOrder(long now) {
    return leadingTerm != 0 && now <= leadershipConfirmedAt() + timeouts.contactTimeoutMicros();
  }

  /**
   * Returns whether this host leads and may start new runs. This permission expires earlier than
   * {@link #mayOrder}: a worker that restarts forgets the fencing token of a successor, so no run
   * may be started once there can be a successor.
   */
  public boolean mayStart(long now) {
    boolean majorityFollows = now <= majorityConfirmedAt + timeouts.startTimeoutMicros();
    boolean recordNamesSelf = now <= recordConfirmedAt + timeouts.recordStartTimeoutMicros();
    return mayOrder(now) && (majorityFollows || recordNamesSelf);
  }

  /**
   * Returns whether this host knows of a leader but its connection broke, or no heartbeat came
   * within the suspicion timeout.
   */
  public boolean isLeaderMissing(long now) {
    return recordKnown && term != 0 && !canReachLeader(now);
  }

  /** Returns when the last heartbeat was received, or when this host last stepped down. */
  public long lastHeartbeatAt() {
    return heartbeatReceivedAt;
  }

  /** Returns the hosts that count towards the majority, without this one. */
  public Set<String> otherVoters(long now) {
    return voters.others(now);
  }

  /** Returns the leader that the record names; empty if there is none. */
  public String knownLeader() {
    return record == null ? "" : record.host();
  }

  /** Returns the highest term that this host knows. */
  public long knownTerm() {
    return term;
  }

  /**
   * Handles an event and returns the resulting actions.
   *
   * @param now the time, in microseconds on the host's monotonic clock; never goes back
   */
  public List<ElectionAction> step(long now, ElectionEvent event) {
    List<ElectionAction> actions = apply(now, event);
    if (leadingTerm != 0) {
      // A newly registered host must not invalidate earlier confirmations.
      majorityConfirmedAt = Math.max(majorityConfirmedAt, latestMajorityConfirmation(now));
    }
    return actions;
  }

  private List<ElectionAction> apply(long now, ElectionEvent event) {
    if (event instanceof Tick) {
      return leadingTerm != 0 ? checkContact(now) : checkLeader(now);
    }
    if (event instanceof HostsListed listed) {
      voters.update(listed.hosts(), now);
    } else if (event instanceof RecordRead read) {
      return recordRead(now, read);
    } else if (event instanceof HeartbeatReceived heartbeat) {
      heartbeatReceived(now, heartbeat);
    } else if (event instanceof TermReported reported) {
      termReported(reported.term(), reported.host());
    } else if (event instanceof LeaderLinkLost lost) {
      if (lost.term() >= term && leadingTerm == 0 && suspectedAt == 0) {
        suspectedAt = now;
      }
    } else if (event instanceof HandOverRequested request) {
      return handOverRequested(now, request);
    } else if (event instanceof HostsPolled polled) {
      return hostsPolled(now, polled);
    } else if (event instanceof RecordAcquired acquired) {
      return recordAcquired(now, acquired);
    } else if (event instanceof AcquireFailed) {
      return acquireFailed(now);
    } else if (event instanceof HeartbeatConfirmed confirmed) {
      confirmedAt.merge(confirmed.host(), confirmed.sentAt(), Math::max);
    } else if (event instanceof RecordExpired) {
      return recordExpired(now);
    } else if (event instanceof StepDownRequired required) {
      return stepDown(now, required.reason());
    } else if (event instanceof ShutdownStarted) {
      shuttingDown = true;
    }
    return List.of();
  }

  private List<ElectionAction> recordRead(long now, RecordRead read) {
    if (read.record() != null && read.revision() == leadingTerm) {
      recordConfirmedAt = Math.max(recordConfirmedAt, read.requestedAt());
    }
    if (recordKnown && read.revision() <= recordRevision) {
      return List.of();
    }
    final boolean changed = recordKnown;
    recordKnown = true;
    recordRevision = read.revision();
    record = read.record();
    if (record == null) {
      return leadingTerm == 0 ? List.of() : recordExpired(now);
    }
    term = Math.max(term, read.revision());
    boolean mine = namesThisProcess(record);
    if (mine && leadingTerm != recordRevision && !shuttingDown) {
      return lead(now, recordRevision);
    }
    if (!mine) {
      previousLeaderStopped = false;
    }
    if (!mine && leadingTerm != 0) {
      return stepDown(now, "the record names another leader");
    }
    if (changed) {
      clearSuspicion(now);
    }
    return List.of();
  }

  private boolean namesThisProcess(LeaderRecord named) {
    return named.host().equals(self) && named.incarnation() == incarnation;
  }

  private void heartbeatReceived(long now, HeartbeatReceived heartbeat) {
    if (heartbeat.term() < term || leadingTerm != 0) {
      return;
    }
    if (heartbeat.term() > term || record == null) {
      adoptLeader(heartbeat.term(), heartbeat.host());
    }
    clearSuspicion(now);
  }

  /**
   * Adopts a reported term if this host could not read the record, as it started while isolated.
   */
  private void termReported(long reportedTerm, String host) {
    if (!recordKnown && reportedTerm > term) {
      adoptLeader(reportedTerm, host);
    }
  }

  private void adoptLeader(long leaderTerm, String host) {
    previousLeaderStopped = false;
    term = leaderTerm;
    recordRevision = Math.max(recordRevision, term);
    record = new LeaderRecord(host, 0);
    recordKnown = true;
  }

  private void clearSuspicion(long now) {
    heartbeatReceivedAt = now;
    suspectedAt = 0;
  }

  private List<ElectionAction> checkLeader(long now) {
    if (shuttingDown || !recordKnown || polling || acquiring || now < nextAttemptAt) {
      return List.of();
    }
    if (record == null && term == 0) {
      return now - heartbeatReceivedAt < candidacyDelay()
          ? List.of()
          : acquireRecordWithBackoff(now, 0);
    }
    if (record != null && record.host().equals(self)) {
      return acquireRecordWithBackoff(now, recordRevision);
    }
    if (suspectedAt == 0 && now - heartbeatReceivedAt >= timeouts.suspicionTimeoutMicros()) {
      suspectedAt = now;
    }
    if (suspectedAt == 0 || now - suspectedAt < candidacyDelay()) {
      return List.of();
    }
    polling = true;
    return List.of(new ElectionAction.PollHosts());
  }

  /**
   * Returns how long this host waits before it tries to become leader. Hosts with more capacity
   * come first; hosts of equal capacity are ordered by name.
   */
  private long candidacyDelay() {
    Map<String, HostCapacity> hosts = voters.registered();
    HostCapacity own = hosts.getOrDefault(self, HostCapacity.UNKNOWN);
    int rank = 0;
    for (Map.Entry<String, HostCapacity> other : hosts.entrySet()) {
      boolean isLeader = record != null && other.getKey().equals(record.host());
      int order = other.getValue().compareTo(own);
      boolean earlier = order > 0 || order == 0 && other.getKey().compareTo(self) < 0;
      rank += earlier && !isLeader ? 1 : 0;
    }
    return rank * timeouts.rankDelayMicros();
  }

  private List<ElectionAction> hostsPolled(long now, HostsPolled polled) {
    polling = false;
    previousLeaderStopped = polled.leaderStopped();
    nextAttemptAt = now + POLL_BACKOFF_MICROS;
    if (shuttingDown
        || leadingTerm != 0
        || suspectedAt == 0
        || polled.leaderAlive() && !polled.leaderStopped()) {
      return List.of();
    }
    int voterCount = voters.others(now).size() + 1;
    boolean majority = voters.isKnown() && 2 * (polled.answered() + 1) > voterCount;
    if (majority || record == null) {
      return acquireRecordWithBackoff(now, record == null ? 0 : recordRevision);
    }
    return List.of(new ElectionAction.ReadRecord());
  }

  private List<ElectionAction> handOverRequested(long now, HandOverRequested request) {
    if (request.term() < term || leadingTerm != 0 || shuttingDown || acquiring) {
      return List.of();
    }
    suspectedAt = now;
    // The leader that hands over is still running.
    previousLeaderStopped = false;
    return acquireRecordWithBackoff(now, request.term());
  }

  private List<ElectionAction> acquireRecordWithBackoff(long now, long expected) {
    nextAttemptAt = now + ACQUIRE_BACKOFF_MICROS;
    return acquireRecord(now, expected);
  }

  private List<ElectionAction> acquireRecord(long now, long expected) {
    acquiring = true;
    acquireRequestedAt = now;
    return List.of(new ElectionAction.AcquireRecord(expected));
  }

  private List<ElectionAction> recordAcquired(long now, RecordAcquired acquired) {
    acquiring = false;
    boolean alreadyLed = acquired.revision() <= lastLedTerm;
    if (acquired.revision() < recordRevision || alreadyLed) {
      return List.of();
    }
    recordRevision = acquired.revision();
    record = new LeaderRecord(self, incarnation);
    recordKnown = true;
    return shuttingDown ? List.of() : lead(now, acquired.revision());
  }

  private List<ElectionAction> lead(long now, long revision) {
    term = revision;
    leadingTerm = revision;
    lastLedTerm = revision;
    leadingSince = now;
    // The record named this host when it was written; the confirmation may arrive much later.
    recordConfirmedAt = acquireRequestedAt;
    confirmedAt.clear();
    majorityConfirmedAt = 0;
    clearSuspicion(now);
    final boolean stopped = previousLeaderStopped;
    previousLeaderStopped = false;
    return List.of(new ElectionAction.BecomeLeader(leadingTerm, stopped));
  }

  private List<ElectionAction> acquireFailed(long now) {
    acquiring = false;
    nextAttemptAt = now + ACQUIRE_BACKOFF_MICROS + candidacyDelay();
    return List.of(new ElectionAction.ReadRecord());
  }

  private List<ElectionAction> recordExpired(long now) {
    if (leadingTerm == 0 || acquiring) {
      return List.of();
    }
    return acquireRecord(now, 0);
  }

  /**
   * Steps down if neither most hosts nor the record confirmed this leader within the contact
   * timeout, as it may have been replaced.
   */
  private List<ElectionAction> checkContact(long now) {
    // The only host always has a majority, even if its last step was long ago.
    majorityConfirmedAt = Math.max(majorityConfirmedAt, latestMajorityConfirmation(now));
    long confirmed = leadershipConfirmedAt();
    if (now - Math.max(confirmed, leadingSince) > timeouts.contactTimeoutMicros()) {
      return stepDown(now, "lost contact with most hosts and with the record");
    }
    boolean majorityFollows = now - majorityConfirmedAt < timeouts.startTimeoutMicros() / 2;
    if (majorityFollows || now - recordRequestedAt < RECORD_READ_INTERVAL_MICROS) {
      return List.of();
    }
    recordRequestedAt = now;
    return List.of(new ElectionAction.ReadRecord());
  }

  /** Returns when the record, or most hosts, last confirmed this host as leader. */
  private long leadershipConfirmedAt() {
    return Math.max(majorityConfirmedAt, recordConfirmedAt);
  }

  /** Returns the latest time since which more than half of the hosts confirmed a heartbeat. */
  private long latestMajorityConfirmation(long now) {
    Set<String> others = voters.others(now);
    if (others.isEmpty()) {
      return voters.neverHadOthers() ? now : 0;
    }
    return Majority.confirmedSince(confirmedAt, others).orElse(0);
  }

  private List<ElectionAction> stepDown(long now, String reason) {
    if (leadingTerm == 0) {
      return List.of();
    }
    final long endedTerm = leadingTerm;
    leadingTerm = 0;
    heartbeatReceivedAt = now;
    nextAttemptAt = now + timeouts.suspicionTimeoutMicros();
    return List.of(new ElectionAction.StepDown(endedTerm, reason));
  }
}
