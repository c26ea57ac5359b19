package org.marjoramhoist.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.IsolationDetector;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * Checks whether this host's failure domain is isolated when the leader's heartbeats stop, by
 * polling hosts of every failure domain and the store at the same time.
 *
 * <p>Does nothing while heartbeats arrive, or if no other failure domain is known. Confined to the
 * event loop's thread.
 */
final class DomainIsolationCheck {

  /** The hosts polled in each other failure domain; a single host may just be down. */
  private static final int POLLED_PER_DOMAIN = 3;

  /** The pause between two polls while the leader is still missing. */
  private static final long POLL_BACKOFF_MICROS = 200_000;

  /**
   * The delay before the hosts of this failure domain are polled. They received the leader's last
   * heartbeat at slightly different times, so some of them notice the missing heartbeats later.
   */
  private static final long OWN_DOMAIN_DELAY_MILLIS = 50;

  /** The results of one round; each is null until its poll has ended. */
  private static final class PollRound {
    private final long startedAt;
    private LeaderPoll.Result otherDomains;
    private LeaderPoll.Result ownDomain;

    private PollRound(long startedAt) {
      this.startedAt = startedAt;
    }
  }

  private final String self;
  private final EventLoop loop;
  private final Election election;
  private final HostRegistration registration;
  private final IsolationDetector detector;
  private final Runnable onIsolated;
  private FrameNetwork network;
  private boolean polling;
  private long nextPollAt;

  /**
   * Creates a check.
   *
   * @param onIsolated is run each time that the failure domain is found to be isolated
   */
  DomainIsolationCheck(
      String self,
      EventLoop loop,
      Election election,
      HostRegistration registration,
      IsolationDetector detector,
      Runnable onIsolated) {
    this.self = self;
    this.loop = loop;
    this.election = election;
    this.registration = registration;
    this.detector = detector;
    this.onIsolated = onIsolated;
  }

  void start(FrameNetwork peers) {
    network = peers;
  }

  /** Starts a poll if the leader is missing and none is in progress. */
  void tick() {
    long now = EventLoop.now();
    if (polling || now < nextPollAt || !election.isLeaderMissing(now)) {
      return;
    }
    Map<String, String> otherHosts = otherDomainHosts();
    if (otherHosts.isEmpty()) {
      return;
    }
    polling = true;
    PollRound round = new PollRound(now);
    registration.readLeaderRecord();
    poll(otherHosts, result -> round.otherDomains = result);
    loop.schedule(
        OWN_DOMAIN_DELAY_MILLIS, () -> poll(ownDomainHosts(), result -> round.ownDomain = result));
    // Gives the store as much time to answer as the hosts, even if these refuse at once.
    loop.schedule(OWN_DOMAIN_DELAY_MILLIS + LeaderPoll.TIMEOUT_MILLIS + 1, () -> pollEnded(round));
  }

  private void poll(Map<String, String> hosts, Consumer<LeaderPoll.Result> result) {
    LeaderPoll.start(self, hosts, election.knownLeader(), hosts.size(), network, loop, result);
  }

  /** Returns the other hosts of this failure domain. */
  private Map<String, String> ownDomainHosts() {
    Map<String, String> hosts = registration.reachableInDomain();
    hosts.remove(self);
    return hosts;
  }

  /** Returns a sample of the hosts of each other failure domain. */
  private Map<String, String> otherDomainHosts() {
    Map<String, Integer> counts = new HashMap<>();
    Map<String, String> hosts = new LinkedHashMap<>(registration.reachable());
    hosts.keySet().removeIf(host -> !isInOtherDomain(host) || exceedsSample(host, counts));
    return hosts;
  }

  private boolean isInOtherDomain(String host) {
    String domain = registration.domainOf(host);
    return !domain.isEmpty() && !domain.equals(registration.failureDomain());
  }

  private boolean exceedsSample(String host, Map<String, Integer> counts) {
    return counts.merge(registration.domainOf(host), 1, Integer::sum) > POLLED_PER_DOMAIN;
  }

  private void pollEnded(PollRound round) {
    polling = false;
    long now = EventLoop.now();
    nextPollAt = now + POLL_BACKOFF_MICROS;
    boolean complete = round.otherDomains != null && round.ownDomain != null;
    if (!complete || !election.isLeaderMissing(now)) {
      return;
    }
    boolean leaderAlive = round.otherDomains.leaderAlive() || round.ownDomain.leaderAlive();
    int replied = round.otherDomains.replied();
    if (detector.domainsPolled(election.lastHeartbeatAt(), round.startedAt, replied, leaderAlive)) {
      onIsolated.run();
    }
  }
}
