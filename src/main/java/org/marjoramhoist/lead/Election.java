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
 * than half of the {@link Electorate} answered; with fewer, only once the record has expired. Wrong
 * suspicions are harmless, as workers obey only the highest term. Confined to one thread.
 */
public final class Election {

  private static final long ASK_PAUSE_MICROS = 200_000;
  private static final long TAKE_PAUSE_MICROS = 150_000;
  private static final long ASK_RECORD_MICROS = 100_000;

  private final String self;
  private final long incarnation;
  private final ElectionTimeouts policy;
  private final Map<String, Long> confirmedAt = new HashMap<>();

  private final Electorate electorate;
  private boolean recordKnown;
  private long seenRevision;
  private long term;
  private LeaderRecord record;
  private long heardAt;
  private long suspectedAt;
  private boolean asking;
  private boolean taking;
  private boolean retired;
  private long notBefore;
  private long leadingTerm;
  private long lastLedTerm;
  private long ledAt;
  private long takeAskedAt;
  private long recordConfirmedAt;
  private long recordAskedAt;
  private long mostHostsAt;
  private boolean earlierGone;

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
    this.electorate = new Electorate(self);
    this.policy = policy;
    this.heardAt = now;
  }

  /** Returns the term in which this host leads; 0 if it does not. */
  public long leadingTerm() {
    return leadingTerm;
  }

  /** Tells whether this host follows a leader that it can send to, or leads. */
  public boolean reachesLeader(long now) {
    return leadingTerm != 0 || suspectedAt == 0 && hearsLeader(now);
  }

  /**
   * Tells whether this host has heard a leader lately, or leads. A connection that broke says
   * nothing of the leader.
   */
  public boolean hearsLeader(long now) {
    return leadingTerm != 0 || now - heardAt < policy.suspectMicros();
  }

  /**
   * Tells whether this host leads and may order runs: it has heard most hosts, or its record,
   * within the contact time.
   */
  public boolean mayOrder(long now) {
    return leadingTerm != 0 && now <= heardAt() + policy.contactMicros();
  }

  /**
   * Tells whether this host leads and may start new runs. It may do so for less time than it may
   * order anything: a worker that starts again forgets the fencing token of a successor, so nothing
   * may be started once there can be one.
   */
  public boolean mayStart(long now) {
    boolean followed = now <= mostHostsAt + policy.startMicros();
    boolean named = now <= recordConfirmedAt + policy.recordStartMicros();
    return mayOrder(now) && (followed || named);
  }

  /** Tells whether this host follows a leader that it has not heard for too long, or lost. */
  public boolean missesLeader(long now) {
    return recordKnown && term != 0 && !reachesLeader(now);
  }

  /** Returns when the leader was last heard, or this host last stepped down. */
  public long leaderHeardAt() {
    return heardAt;
  }

  /** Returns the other hosts whose majority counts. */
  public Set<String> otherHosts(long now) {
    return electorate.others(now);
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
    List<ElectionAction> actions = take(now, event);
    if (leadingTerm != 0) {
      // A host that has just registered takes away nothing of what was heard before.
      mostHostsAt = Math.max(mostHostsAt, mostHostsHeardAt(now));
    }
    return actions;
  }

  private List<ElectionAction> take(long now, ElectionEvent event) {
    if (event instanceof Tick) {
      return leadingTerm != 0 ? checkContact(now) : checkLeader(now);
    }
    if (event instanceof HostsListed seen) {
      electorate.seen(seen.hosts(), now);
    } else if (event instanceof RecordRead seen) {
      return recordSeen(now, seen);
    } else if (event instanceof HeartbeatReceived heard) {
      leaderHeard(now, heard);
    } else if (event instanceof TermReported learned) {
      termLearned(learned.term(), learned.host());
    } else if (event instanceof LeaderLinkLost lost) {
      if (lost.term() >= term && leadingTerm == 0 && suspectedAt == 0) {
        suspectedAt = now;
      }
    } else if (event instanceof HandOverRequested handed) {
      return handedOver(now, handed);
    } else if (event instanceof HostsPolled asked) {
      return hostsAsked(now, asked);
    } else if (event instanceof RecordAcquired taken) {
      return recordTaken(now, taken);
    } else if (event instanceof AcquireFailed) {
      return takeFailed(now);
    } else if (event instanceof HeartbeatConfirmed confirmed) {
      confirmedAt.merge(confirmed.host(), confirmed.sentAt(), Math::max);
    } else if (event instanceof RecordExpired) {
      return recordExpired(now);
    } else if (event instanceof StepDownRequired must) {
      return stepDown(now, must.reason());
    } else if (event instanceof ShutdownStarted) {
      retired = true;
    }
    return List.of();
  }

  private List<ElectionAction> recordSeen(long now, RecordRead seen) {
    if (seen.record() != null && seen.revision() == leadingTerm) {
      recordConfirmedAt = Math.max(recordConfirmedAt, seen.askedAt());
    }
    if (recordKnown && seen.revision() <= seenRevision) {
      return List.of();
    }
    final boolean changed = recordKnown;
    recordKnown = true;
    seenRevision = seen.revision();
    record = seen.record();
    if (record == null) {
      return leadingTerm == 0 ? List.of() : recordExpired(now);
    }
    term = Math.max(term, seen.revision());
    boolean mine = namesThisProcess(record);
    if (mine && leadingTerm != seenRevision && !retired) {
      return lead(now, seenRevision);
    }
    if (!mine) {
      earlierGone = false;
    }
    if (!mine && leadingTerm != 0) {
      return stepDown(now, "the record names another leader");
    }
    if (changed) {
      trust(now);
    }
    return List.of();
  }

  private boolean namesThisProcess(LeaderRecord named) {
    return named.host().equals(self) && named.incarnation() == incarnation;
  }

  private void leaderHeard(long now, HeartbeatReceived heard) {
    if (heard.term() < term || leadingTerm != 0) {
      return;
    }
    if (heard.term() > term || record == null) {
      named(heard.term(), heard.host());
    }
    trust(now);
  }

  /** A host that has started behind a cut learns what it would have read in the store. */
  private void termLearned(long learned, String host) {
    if (!recordKnown && learned > term) {
      named(learned, host);
    }
  }

  private void named(long itsTerm, String host) {
    earlierGone = false;
    term = itsTerm;
    seenRevision = Math.max(seenRevision, term);
    record = new LeaderRecord(host, 0);
    recordKnown = true;
  }

  private void trust(long now) {
    heardAt = now;
    suspectedAt = 0;
  }

  private List<ElectionAction> checkLeader(long now) {
    if (retired || !recordKnown || asking || taking || now < notBefore) {
      return List.of();
    }
    if (record == null && term == 0) {
      return now - heardAt < rankDelay() ? List.of() : takeRecord(now, 0);
    }
    if (record != null && record.host().equals(self)) {
      return takeRecord(now, seenRevision);
    }
    if (suspectedAt == 0 && now - heardAt >= policy.suspectMicros()) {
      suspectedAt = now;
    }
    if (suspectedAt == 0 || now - suspectedAt < rankDelay()) {
      return List.of();
    }
    asking = true;
    return List.of(new ElectionAction.AskHosts());
  }

  /** Hosts that could carry more as leader stand earlier; equal ones in the order of names. */
  private long rankDelay() {
    Map<String, HostCapacity> hosts = electorate.registered();
    HostCapacity own = hosts.getOrDefault(self, HostCapacity.UNKNOWN);
    int rank = 0;
    for (Map.Entry<String, HostCapacity> other : hosts.entrySet()) {
      boolean leads = record != null && other.getKey().equals(record.host());
      int order = other.getValue().compareTo(own);
      boolean earlier = order > 0 || order == 0 && other.getKey().compareTo(self) < 0;
      rank += earlier && !leads ? 1 : 0;
    }
    return rank * policy.rankMicros();
  }

  private List<ElectionAction> hostsAsked(long now, HostsPolled asked) {
    asking = false;
    earlierGone = asked.leaderIsGone();
    notBefore = now + ASK_PAUSE_MICROS;
    if (retired
        || leadingTerm != 0
        || suspectedAt == 0
        || asked.leaderIsHeard() && !asked.leaderIsGone()) {
      return List.of();
    }
    int known = electorate.others(now).size() + 1;
    boolean most = 2 * (asked.answered() + 1) > known;
    if (most || record == null) {
      return takeRecord(now, record == null ? 0 : seenRevision);
    }
    return List.of(new ElectionAction.ReadRecord());
  }

  private List<ElectionAction> handedOver(long now, HandOverRequested handed) {
    if (handed.term() < term || leadingTerm != 0 || retired || taking) {
      return List.of();
    }
    suspectedAt = now;
    // A leader that hands over is alive.
    earlierGone = false;
    return takeRecord(now, handed.term());
  }

  private List<ElectionAction> takeRecord(long now, long expected) {
    notBefore = now + TAKE_PAUSE_MICROS;
    return askForRecord(now, expected);
  }

  private List<ElectionAction> askForRecord(long now, long expected) {
    taking = true;
    takeAskedAt = now;
    return List.of(new ElectionAction.AcquireRecord(expected));
  }

  private List<ElectionAction> recordTaken(long now, RecordAcquired taken) {
    taking = false;
    boolean wasLed = taken.revision() <= lastLedTerm;
    if (taken.revision() < seenRevision || wasLed) {
      return List.of();
    }
    seenRevision = taken.revision();
    record = new LeaderRecord(self, incarnation);
    recordKnown = true;
    return retired ? List.of() : lead(now, taken.revision());
  }

  private List<ElectionAction> lead(long now, long revision) {
    term = revision;
    leadingTerm = revision;
    lastLedTerm = revision;
    ledAt = now;
    // The record named this host when it was written, not when that is told.
    recordConfirmedAt = takeAskedAt;
    confirmedAt.clear();
    mostHostsAt = 0;
    trust(now);
    final boolean gone = earlierGone;
    earlierGone = false;
    return List.of(new ElectionAction.Lead(leadingTerm, gone));
  }

  private List<ElectionAction> takeFailed(long now) {
    taking = false;
    notBefore = now + TAKE_PAUSE_MICROS + rankDelay();
    return List.of(new ElectionAction.ReadRecord());
  }

  private List<ElectionAction> recordExpired(long now) {
    if (leadingTerm == 0 || taking) {
      return List.of();
    }
    return askForRecord(now, 0);
  }

  /** A leader that hears neither most hosts nor its record may have been replaced. */
  private List<ElectionAction> checkContact(long now) {
    // A host without others has heard most of them at any time, however long ago it last stepped.
    mostHostsAt = Math.max(mostHostsAt, mostHostsHeardAt(now));
    long heard = heardAt();
    if (now - Math.max(heard, ledAt) > policy.contactMicros()) {
      return stepDown(now, "neither most hosts nor the record were heard");
    }
    boolean followed = now - mostHostsAt < policy.startMicros() / 2;
    if (followed || now - recordAskedAt < ASK_RECORD_MICROS) {
      return List.of();
    }
    recordAskedAt = now;
    return List.of(new ElectionAction.ReadRecord());
  }

  /** Returns when this host last knew that its record named it, or that most hosts follow it. */
  private long heardAt() {
    return Math.max(mostHostsAt, recordConfirmedAt);
  }

  /** Returns the latest time since which more than half of the hosts were heard. */
  private long mostHostsHeardAt(long now) {
    Set<String> others = electorate.others(now);
    if (others.isEmpty()) {
      return electorate.wasAlwaysAlone() ? now : 0;
    }
    return Majority.heardSince(confirmedAt, others).orElse(0);
  }

  private List<ElectionAction> stepDown(long now, String reason) {
    if (leadingTerm == 0) {
      return List.of();
    }
    final long ended = leadingTerm;
    leadingTerm = 0;
    heardAt = now;
    notBefore = now + policy.suspectMicros();
    return List.of(new ElectionAction.StepDown(ended, reason));
  }
}
