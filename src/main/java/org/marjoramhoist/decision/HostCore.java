package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.message.PeerMessage.ShardView;
import org.marjoramhoist.model.HostRef;

/**
 * Every decision of one entry host, as one function of time and events.
 *
 * <p>Deterministic: the same sequence of times and events yields the same actions. Confined to one
 * thread.
 */
public final class HostCore {

  private static final long CLAIM_TICK = 50 * Policy.MICROS_PER_MILLI;

  private final Policy policy;
  private final Actions out = new Actions();
  private final Membership membership;
  private final Configuration config = new Configuration();
  private final ConfigFollower follower;
  private final ClaimAuthority claims;
  private final Submissions submissions;
  private final Ledger ledger;
  private final PeerView peers;
  private final long settledAt;
  private long nextClaimTick;
  private boolean draining;
  private boolean drainedSaid;

  /**
   * Creates the decisions of one incarnation.
   *
   * @param policy the settings
   * @param settledAt when this host will have heard the others, in microseconds since the epoch
   */
  public HostCore(Policy policy, long settledAt) {
    this.policy = policy;
    this.settledAt = settledAt;
    this.membership = new Membership(policy);
    this.follower = new ConfigFollower(policy, membership, config);
    this.ledger = new Ledger(policy);
    this.claims = new ClaimAuthority(policy, membership, this::claimRepliedHere);
    this.submissions = new Submissions(policy, membership, claims, config, ledger);
    this.peers = new PeerView(policy);
  }

  private long stepTime;

  private void claimRepliedHere(HostRef to, PeerMessage.ClaimReply reply, Actions actions) {
    submissions.claimReplied(stepTime, policy.self(), reply, actions);
  }

  Scheduler scheduler() {
    return submissions.scheduler();
  }

  ClaimAuthority claims() {
    return claims;
  }

  boolean isDraining() {
    return draining;
  }

  /** Returns the configuration revision in force. */
  public long configRevision() {
    return config.revision();
  }

  /**
   * Takes in an event.
   *
   * @param now the time, in microseconds since the epoch; never less than before
   * @param event what happened
   * @return the effects asked for, in their order
   */
  public List<Action> step(long now, Event event) {
    stepTime = now;
    if (event instanceof Event.Received received) {
      receive(now, received.from(), received.message());
    } else if (event instanceof Event.Tick) {
      tick(now);
    } else if (!fromCaller(now, event) && !fromWorker(now, event)) {
      fromPlatform(now, event);
    }
    return out.take();
  }

  private boolean fromCaller(long now, Event event) {
    if (event instanceof Event.Submitted e) {
      submissions.submitted(now, e.request(), e.job(), draining, out);
    } else if (event instanceof Event.AnswerAsked e) {
      submissions.answerAsked(now, e.request(), e.id(), out);
    } else if (event instanceof Event.WaitEnded e) {
      submissions.waitEnded(e.request());
    } else if (event instanceof Event.CancelAsked e) {
      submissions.cancel(now, e.id(), e.team(), true, out);
    } else if (event instanceof Event.TicketAsked e) {
      out.add(new Action.ReplyTicket(e.request(), submissions.issueTicket(now)));
    } else if (event instanceof Event.StatusAsked e) {
      out.add(new Action.ReplyStatus(e.request(), status()));
    } else {
      return false;
    }
    return true;
  }

  private boolean fromWorker(long now, Event event) {
    if (event instanceof Event.AttemptEnded e) {
      scheduler().attemptEnded(now, e.attempt(), e.outcome(), out);
    } else if (event instanceof Event.AttemptSettled e) {
      scheduler().attemptSettled(now, e.attempt(), e.outcome(), out);
    } else if (event instanceof Event.WorkerLeaving e) {
      scheduler().workerLeaving(now, e.worker(), out);
    } else {
      return false;
    }
    return true;
  }

  private void fromPlatform(long now, Event event) {
    if (event instanceof Event.ConfigSeen e) {
      if (config.apply(e.baseRevision(), e.revision(), e.changed(), e.deleted(), out)) {
        configChanged(now);
      }
    } else if (event instanceof Event.WatchLost) {
      follower.watchLost(now);
    } else if (event instanceof Event.AccountsWritten e) {
      ledger.written(now, e.seq(), e.done(), out);
    } else if (event instanceof Event.DrainAsked) {
      draining = true;
    } else if (event instanceof Event.LinkUp e) {
      peers.linkUp(e.host(), e.address(), e.domain());
    } else if (event instanceof Event.LinkLost e) {
      peers.linkLost(e.host());
      membership.linkLost(e.host());
      claims.linkLost(e.host());
      scheduler().lending().linkLost(e.host());
      submissions.linkLost(now, e.host(), out);
    } else {
      claims.storeEvent(now, event, out);
    }
  }

  private void configChanged(long now) {
    scheduler().configChanged(now, out);
    shareSlots(now);
  }

  private void shareSlots(long now) {
    scheduler().shareSlots(now, peers.sharers(membership), out);
  }

  private void receive(long now, HostRef from, PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat beat) {
      heard(now, from, beat);
    } else if (message instanceof PeerMessage.ClaimRequest m) {
      claims.claim(now, from, m, out);
    } else if (message instanceof PeerMessage.ClaimReply m) {
      submissions.claimReplied(now, from, m, out);
    } else if (message instanceof PeerMessage.ClaimRelease m) {
      claims.release(from, m, out);
    } else if (message instanceof PeerMessage.Replicate m) {
      claims.replicate(from, m, out);
    } else if (message instanceof PeerMessage.ReplicateAck m) {
      claims.acked(from, m, out);
    } else if (message instanceof PeerMessage.Snapshot m) {
      claims.snapshot(from, m, out);
    } else if (message instanceof PeerMessage.Forward m) {
      submissions.forwarded(now, from, m, draining, out);
    } else if (message instanceof PeerMessage.ForwardReply m) {
      submissions.forwardReplied(m, out);
    } else if (message instanceof PeerMessage.Locate m) {
      claims.locate(now, from, m, out);
    } else if (message instanceof PeerMessage.Cancel m) {
      submissions.cancel(now, m.id(), m.team(), false, out);
    } else if (message instanceof PeerMessage.LoanRequest m) {
      scheduler().loanAsked(now, from, m, out);
    } else if (message instanceof PeerMessage.LoanGrant m) {
      scheduler().loanGranted(now, from, m, out);
    } else if (message instanceof PeerMessage.LoanReturn m) {
      scheduler().loanReturned(now, from, m, out);
    } else if (message instanceof PeerMessage.ConfigRequest m) {
      follower.asked(from, m.sinceRevision(), out);
    } else if (message instanceof PeerMessage.ConfigUpdate m) {
      if (follower.updated(m, out)) {
        configChanged(now);
      }
    }
  }

  private void heard(long now, HostRef from, PeerMessage.Heartbeat beat) {
    final boolean changed = membership.heard(now, from, beat, out);
    claims.heard(from, beat);
    follower.heard(now, from, beat.configRevision(), out);
    peers.heard(now, from, beat, scheduler(), out);
    if (changed) {
      shareSlots(now);
    }
  }

  private void tick(long now) {
    if (membership.tick(now, out)) {
      shareSlots(now);
    }
    if (now >= nextClaimTick) {
      nextClaimTick = now + CLAIM_TICK;
      claims.tick(now, now >= settledAt, !draining, out);
    }
    follower.tick(now, out);
    submissions.tick(now, out);
    peers.tick(now, this, out);
    ledger.tick(now, out);
    if (draining) {
      tickDrain(now);
    }
  }

  private void tickDrain(long now) {
    if (!submissions.isIdle() || scheduler().attemptCount() > 0) {
      return;
    }
    ledger.close(now);
    if (ledger.isClosed() && !claims.holdsShards() && !drainedSaid) {
      drainedSaid = true;
      out.add(new Action.Drained());
    }
  }

  private HostStatus status() {
    List<HostStatus.HostView> hosts = new ArrayList<>();
    for (Membership.Peer peer : membership.peers()) {
      hosts.add(
          new HostStatus.HostView(
              peer.ref().toString(),
              peer.domain().value(),
              peer.state().name(),
              peer.last().draining(),
              peer.last().configRevision()));
    }
    Map<String, Integer> teams = new TreeMap<>();
    scheduler().usage().atLeast(1).forEach((team, count) -> teams.put(team.value(), count));
    return new HostStatus(
        policy.self().toString(),
        policy.domain().value(),
        draining,
        config.revision(),
        scheduler().jobCount(),
        scheduler().waitingTasks(),
        scheduler().attemptCount(),
        claims.claimCount(),
        submissions.size(),
        ledger.backlog(),
        claims.owned().stream().map(ShardView::shard).toList(),
        hosts,
        scheduler().workerViews(),
        teams);
  }
}
