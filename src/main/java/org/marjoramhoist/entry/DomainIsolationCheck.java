package org.marjoramhoist.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.IsolationDetector;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * Finds out whether this host's failure domain is cut off once the leader's heartbeats are missed,
 * by asking hosts of every failure domain and the store at the same time.
 *
 * <p>Does nothing while a leader is heard, or if no other failure domain is known. Confined to the
 * loop's thread.
 */
final class DomainIsolationCheck {

  /** How many hosts are asked in each other failure domain; one that is down proves nothing. */
  private static final int POLLED_PER_DOMAIN = 3;

  /** The pause between two rounds while the leader is still missed. */
  private static final long POLL_BACKOFF_MICROS = 200_000;

  /**
   * How much later the hosts of this failure domain are asked: they heard the leader's last
   * heartbeat at about the same time, and miss it as much later as that came later.
   */
  private static final long OWN_DOMAIN_DELAY_MILLIS = 50;

  /** The results of one round of questions; each is null until its survey has ended. */
  private static final class PollRound {
    private final long startedAt;
    private LeaderPoll.Result otherDomains;
    private LeaderPoll.Result ownDomain;

    private PollRound(long askedAt) {
      this.startedAt = askedAt;
    }
  }

  private final String self;
  private final EventLoop loop;
  private final Election election;
  private final HostRegistration store;
  private final IsolationDetector isolation;
  private final Runnable onIsolated;
  private FrameNetwork network;
  private boolean polling;
  private long nextPollAt;

  /**
   * Creates a check.
   *
   * @param onCutOff is told each time that the failure domain is found to be cut off
   */
  DomainIsolationCheck(
      String self,
      EventLoop loop,
      Election election,
      HostRegistration store,
      IsolationDetector isolation,
      Runnable onCutOff) {
    this.self = self;
    this.loop = loop;
    this.election = election;
    this.store = store;
    this.isolation = isolation;
    this.onIsolated = onCutOff;
  }

  void start(FrameNetwork peers) {
    network = peers;
  }

  /** Asks if the leader is missed. */
  void tick() {
    long now = EventLoop.now();
    if (polling || now < nextPollAt || !election.isLeaderMissing(now)) {
      return;
    }
    Map<String, String> elsewhere = otherDomainHosts();
    if (elsewhere.isEmpty()) {
      return;
    }
    polling = true;
    PollRound round = new PollRound(now);
    store.readLeaderRecord();
    poll(elsewhere, result -> round.otherDomains = result);
    loop.schedule(
        OWN_DOMAIN_DELAY_MILLIS, () -> poll(ownDomainHosts(), result -> round.ownDomain = result));
    // The store is given as long as the hosts, also if they refuse at once.
    loop.schedule(OWN_DOMAIN_DELAY_MILLIS + LeaderPoll.TIMEOUT_MILLIS + 1, () -> pollEnded(round));
  }

  private void poll(Map<String, String> hosts, Consumer<LeaderPoll.Result> result) {
    LeaderPoll.start(self, hosts, election.knownLeader(), hosts.size(), network, loop, result);
  }

  /** Returns the other hosts of this failure domain. */
  private Map<String, String> ownDomainHosts() {
    Map<String, String> hosts = store.reachableInDomain();
    hosts.remove(self);
    return hosts;
  }

  /** Returns some hosts of each other failure domain. */
  private Map<String, String> otherDomainHosts() {
    Map<String, Integer> counts = new HashMap<>();
    Map<String, String> hosts = new LinkedHashMap<>(store.reachable());
    hosts.keySet().removeIf(host -> !isInOtherDomain(host) || exceedsSample(host, counts));
    return hosts;
  }

  private boolean isInOtherDomain(String host) {
    String domain = store.domainOf(host);
    return !domain.isEmpty() && !domain.equals(store.failureDomain());
  }

  private boolean exceedsSample(String host, Map<String, Integer> counts) {
    return counts.merge(store.domainOf(host), 1, Integer::sum) > POLLED_PER_DOMAIN;
  }

  private void pollEnded(PollRound round) {
    polling = false;
    long now = EventLoop.now();
    nextPollAt = now + POLL_BACKOFF_MICROS;
    boolean complete = round.otherDomains != null && round.ownDomain != null;
    if (!complete || !election.isLeaderMissing(now)) {
      return;
    }
    boolean heard = round.otherDomains.leaderAlive() || round.ownDomain.leaderAlive();
    int reached = round.otherDomains.replied();
    if (isolation.domainsPolled(election.lastHeartbeatAt(), round.startedAt, reached, heard)) {
      onIsolated.run();
    }
  }
}
