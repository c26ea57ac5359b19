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
 * One host's part in the election of the partition's leader.
 *
 * <p>Invariants: a host leads only under a record that it wrote itself, whose revision is its term.
 * It stands against a leader only if it doesn't hear it, no host that answers hears it, and more
 * than half of the {@link VoterSet} answered; with fewer, only once the record has expired. Wrong
 * suspicions are harmless, as workers obey only the highest term. Confined to one thread.
 */
public final class Election {

  private static final long POLL_BACKOFF_MICROS = 200_000;
  private static final long ACQUIRE_BACKOFF_MICROS = 150_000;
  private static final long RECORD_READ_INTERVAL_MICROS = 100_000;

  private final String self;
  private final long incarnation;
  private final ElectionTimeouts policy;
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
   * Creates a host's part.
   *
   * @param self the host
   * @param incarnation tells this life of its process apart from others
   * @param policy the time-outs
   * @param now the present time in microseconds
   */
  public Election(String self, long incarnation, ElectionTimeouts policy, long now) {
    this.self = self;
    this.incarnation = incarnation;
    this.voters = new VoterSet(self);
    this.policy = policy;
    this.heartbeatReceivedAt = now;
  }

  /** Returns the term in which this host leads; 0 if it does not. */
  public long leadingTerm() {
    return leadingTerm;
  }

  /** Tells whether this host follows a leader that it can send to, or leads. */
  public boolean canReachLeader(long now) {
    return leadingTerm != 0 || suspectedAt == 0 && isLeaderAlive(now);
  }

  /**
   * Tells whether this host has heard a leader lately, or leads. A connection that broke says
   * nothing of the leader.
   */
  public boolean isLeaderAlive(long now) {
    return leadingTerm != 0 || now - heartbeatReceivedAt < policy.suspicionTimeoutMicros();
  }

  /**
   * Tells whether this host leads and may order runs: it has heard most hosts, or its record,
   * within the contact time.
   */
  public boolean mayOrder(long now) {
    return leadingTerm != 0 && now <= leadershipConfirmedAt() + policy.contactTimeoutMicros();
  }

  /**
   * Tells whether this host leads and may start new runs. It may do so for less time than it may
   * order anything: a worker that starts again forgets the fencing token of a successor, so nothing
   * may be started once there can be one.
   */
  public boolean mayStart(long now) {
    boolean followed = now <= majorityConfirmedAt + policy.startTimeoutMicros();
    boolean named = now <= recordConfirmedAt + policy.recordStartTimeoutMicros();
    return mayOrder(now) && (followed || named);
  }

  /** Tells whether this host follows a leader that it has not heard for too long, or lost. */
  public boolean isLeaderMissing(long now) {
    return recordKnown && term != 0 && !canReachLeader(now);
  }

  /** Returns when the leader was last heard, or this host last stepped down. */
  public long lastHeartbeatAt() {
    return heartbeatReceivedAt;
  }

  /** Returns the other hosts whose majority counts. */
  public Set<String> otherVoters(long now) {
    return voters.others(now);
  }

  /** Returns the leader that the record names; empty if there is none. */
  public String knownLeader() {
    return record == null ? "" : record.host();
  }

  /** Returns the highest term that this host knows of. */
  public long knownTerm() {
    return term;
  }

  /**
   * Takes in an event and returns what must be done.
   *
   * @param now the time, in microseconds on the host's steady clock; never goes back
   */
  public List<ElectionAction> step(long now, ElectionEvent event) {
    List<ElectionAction> actions = apply(now, event);
    if (leadingTerm != 0) {
      // A host that has just registered takes away nothing of what was heard before.
      majorityConfirmedAt = Math.max(majorityConfirmedAt, latestMajorityConfirmation(now));
    }
    return actions;
  }

  private List<ElectionAction> apply(long now, ElectionEvent event) {
    if (event instanceof Tick) {
      return leadingTerm != 0 ? checkContact(now) : checkLeader(now);
    }
    if (event instanceof HostsListed seen) {
      voters.update(seen.hosts(), now);
    } else if (event instanceof RecordRead seen) {
      return recordRead(now, seen);
    } else if (event instanceof HeartbeatReceived heard) {
      heartbeatReceived(now, heard);
    } else if (event instanceof TermReported learned) {
      termReported(learned.term(), learned.host());
    } else if (event instanceof LeaderLinkLost lost) {
      if (lost.term() >= term && leadingTerm == 0 && suspectedAt == 0) {
        suspectedAt = now;
      }
    } else if (event instanceof HandOverRequested handed) {
      return handOverRequested(now, handed);
    } else if (event instanceof HostsPolled asked) {
      return hostsPolled(now, asked);
    } else if (event instanceof RecordAcquired taken) {
      return recordAcquired(now, taken);
    } else if (event instanceof AcquireFailed) {
      return acquireFailed(now);
    } else if (event instanceof HeartbeatConfirmed confirmed) {
      confirmedAt.merge(confirmed.host(), confirmed.sentAt(), Math::max);
    } else if (event instanceof RecordExpired) {
      return recordExpired(now);
    } else if (event instanceof StepDownRequired must) {
      return stepDown(now, must.reason());
    } else if (event instanceof ShutdownStarted) {
      shuttingDown = true;
    }
    return List.of();
  }

  private List<ElectionAction> recordRead(long now, RecordRead seen) {
    if (seen.record() != null && seen.revision() == leadingTerm) {
      recordConfirmedAt = Math.max(recordConfirmedAt, seen.requestedAt());
    }
    if (recordKnown && seen.revision() <= recordRevision) {
      return List.of();
    }
    final boolean changed = recordKnown;
    recordKnown = true;
    recordRevision = seen.revision();
    record = seen.record();
    if (record == null) {
      return leadingTerm == 0 ? List.of() : recordExpired(now);
    }
    term = Math.max(term, seen.revision());
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

  private void heartbeatReceived(long now, HeartbeatReceived heard) {
    if (heard.term() < term || leadingTerm != 0) {
      return;
    }
    if (heard.term() > term || record == null) {
      adoptLeader(heard.term(), heard.host());
    }
    clearSuspicion(now);
  }

  /** A host that has started behind a cut learns what it would have read in the store. */
  private void termReported(long learned, String host) {
    if (!recordKnown && learned > term) {
      adoptLeader(learned, host);
    }
  }

  private void adoptLeader(long itsTerm, String host) {
    previousLeaderStopped = false;
    term = itsTerm;
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
    if (suspectedAt == 0 && now - heartbeatReceivedAt >= policy.suspicionTimeoutMicros()) {
      suspectedAt = now;
    }
    if (suspectedAt == 0 || now - suspectedAt < candidacyDelay()) {
      return List.of();
    }
    polling = true;
    return List.of(new ElectionAction.PollHosts());
  }

  /** Hosts that could carry more as leader stand earlier; equal ones in the order of names. */
  private long candidacyDelay() {
    Map<String, HostCapacity> hosts = voters.registered();
    HostCapacity own = hosts.getOrDefault(self, HostCapacity.UNKNOWN);
    int rank = 0;
    for (Map.Entry<String, HostCapacity> other : hosts.entrySet()) {
      boolean leads = record != null && other.getKey().equals(record.host());
      int order = other.getValue().compareTo(own);
      boolean earlier = order > 0 || order == 0 && other.getKey().compareTo(self) < 0;
      rank += earlier && !leads ? 1 : 0;
    }
    return rank * policy.rankDelayMicros();
  }

  private List<ElectionAction> hostsPolled(long now, HostsPolled asked) {
    polling = false;
    previousLeaderStopped = asked.leaderStopped();
    nextAttemptAt = now + POLL_BACKOFF_MICROS;
    if (shuttingDown
        || leadingTerm != 0
        || suspectedAt == 0
        || asked.leaderAlive() && !asked.leaderStopped()) {
      return List.of();
    }
    int known = voters.others(now).size() + 1;
    boolean most = 2 * (asked.answered() + 1) > known;
    if (most || record == null) {
      return acquireRecordWithBackoff(now, record == null ? 0 : recordRevision);
    }
    return List.of(new ElectionAction.ReadRecord());
  }

  private List<ElectionAction> handOverRequested(long now, HandOverRequested handed) {
    if (handed.term() < term || leadingTerm != 0 || shuttingDown || acquiring) {
      return List.of();
    }
    suspectedAt = now;
    // A leader that hands over is alive.
    previousLeaderStopped = false;
    return acquireRecordWithBackoff(now, handed.term());
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

  private List<ElectionAction> recordAcquired(long now, RecordAcquired taken) {
    acquiring = false;
    boolean wasLed = taken.revision() <= lastLedTerm;
    if (taken.revision() < recordRevision || wasLed) {
      return List.of();
    }
    recordRevision = taken.revision();
    record = new LeaderRecord(self, incarnation);
    recordKnown = true;
    return shuttingDown ? List.of() : lead(now, taken.revision());
  }

  private List<ElectionAction> lead(long now, long revision) {
    term = revision;
    leadingTerm = revision;
    lastLedTerm = revision;
    leadingSince = now;
    // The record named this host when it was written, not when that is told.
    recordConfirmedAt = acquireRequestedAt;
    confirmedAt.clear();
    majorityConfirmedAt = 0;
    clearSuspicion(now);
    final boolean gone = previousLeaderStopped;
    previousLeaderStopped = false;
    return List.of(new ElectionAction.BecomeLeader(leadingTerm, gone));
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

  /** A leader that hears neither most hosts nor its record may have been replaced. */
  private List<ElectionAction> checkContact(long now) {
    // A host without others has heard most of them at any time, however long ago it last stepped.
    majorityConfirmedAt = Math.max(majorityConfirmedAt, latestMajorityConfirmation(now));
    long heard = leadershipConfirmedAt();
    if (now - Math.max(heard, leadingSince) > policy.contactTimeoutMicros()) {
      return stepDown(now, "neither most hosts nor the record were heard");
    }
    boolean followed = now - majorityConfirmedAt < policy.startTimeoutMicros() / 2;
    if (followed || now - recordRequestedAt < RECORD_READ_INTERVAL_MICROS) {
      return List.of();
    }
    recordRequestedAt = now;
    return List.of(new ElectionAction.ReadRecord());
  }

  /** Returns when this host last knew that its record named it, or that most hosts follow it. */
  private long leadershipConfirmedAt() {
    return Math.max(majorityConfirmedAt, recordConfirmedAt);
  }

  /** Returns the latest time since which more than half of the hosts were heard. */
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
    final long ended = leadingTerm;
    leadingTerm = 0;
    heartbeatReceivedAt = now;
    nextAttemptAt = now + policy.suspicionTimeoutMicros();
    return List.of(new ElectionAction.StepDown(ended, reason));
  }
}
