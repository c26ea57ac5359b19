package org.marjoramhoist.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.IsolationDetector;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * Finds out whether this host's failure domain is cut off as soon as the leader is missed, by
 * asking hosts of every failure domain and the store at the same time.
 *
 * <p>Does nothing while a leader is heard, nor if no other failure domain is known. Confined to the
 * loop's thread.
 */
final class DomainCutCheck {

  /** The hosts asked in each other failure domain, so that one host that is down says nothing. */
  private static final int ASKED_PER_DOMAIN = 3;

  /** How much later it asks again while the leader is still missed. */
  private static final long PAUSE_MICROS = 200_000;

  /**
   * How much later the hosts of this failure domain are asked: they heard the leader's last
   * heartbeat at about the same time, and miss it as much later as that came later.
   */
  private static final long OWN_DOMAIN_DELAY_MILLIS = 50;

  /** What is heard of one time of asking; null until it is complete. */
  private static final class Round {
    private final long askedAt;
    private HostSurvey.Result elsewhere;
    private HostSurvey.Result here;

    private Round(long askedAt) {
      this.askedAt = askedAt;
    }
  }

  private final String self;
  private final Loop loop;
  private final Election election;
  private final StoreLink store;
  private final IsolationDetector isolation;
  private final Runnable onCutOff;
  private FrameNetwork network;
  private boolean asking;
  private long notBefore;

  /**
   * Creates a check.
   *
   * @param onCutOff is told each time that the failure domain is found to be cut off
   */
  DomainCutCheck(
      String self,
      Loop loop,
      Election election,
      StoreLink store,
      IsolationDetector isolation,
      Runnable onCutOff) {
    this.self = self;
    this.loop = loop;
    this.election = election;
    this.store = store;
    this.isolation = isolation;
    this.onCutOff = onCutOff;
  }

  void start(FrameNetwork peers) {
    network = peers;
  }

  /** Asks if the leader is missed. */
  void tick() {
    long now = Loop.now();
    if (asking || now < notBefore || !election.missesLeader(now)) {
      return;
    }
    Map<String, String> elsewhere = hostsElsewhere();
    if (elsewhere.isEmpty()) {
      return;
    }
    asking = true;
    Round round = new Round(now);
    store.readRecord();
    ask(elsewhere, result -> round.elsewhere = result);
    loop.after(OWN_DOMAIN_DELAY_MILLIS, () -> ask(hostsHere(), result -> round.here = result));
    // The store is given as long as the hosts, also if they refuse at once.
    loop.after(OWN_DOMAIN_DELAY_MILLIS + HostSurvey.TIMEOUT_MILLIS + 1, () -> ended(round));
  }

  private void ask(Map<String, String> hosts, Consumer<HostSurvey.Result> result) {
    HostSurvey.start(self, hosts, election.knownLeader(), hosts.size(), network, loop, result);
  }

  /** Returns the other hosts of this failure domain. */
  private Map<String, String> hostsHere() {
    Map<String, String> hosts = store.reachableInDomain();
    hosts.remove(self);
    return hosts;
  }

  /** Returns some hosts of each other failure domain. */
  private Map<String, String> hostsElsewhere() {
    Map<String, Integer> counts = new HashMap<>();
    Map<String, String> hosts = new LinkedHashMap<>(store.reachable());
    hosts.keySet().removeIf(host -> !isElsewhere(host) || isBeyondSample(host, counts));
    return hosts;
  }

  private boolean isElsewhere(String host) {
    String domain = store.domainOf(host);
    return !domain.isEmpty() && !domain.equals(store.failureDomain());
  }

  private boolean isBeyondSample(String host, Map<String, Integer> counts) {
    return counts.merge(store.domainOf(host), 1, Integer::sum) > ASKED_PER_DOMAIN;
  }

  private void ended(Round round) {
    asking = false;
    long now = Loop.now();
    notBefore = now + PAUSE_MICROS;
    boolean complete = round.elsewhere != null && round.here != null;
    if (!complete || !election.missesLeader(now)) {
      return;
    }
    boolean heard = round.elsewhere.leaderHeard() || round.here.leaderHeard();
    int reached = round.elsewhere.reached();
    if (isolation.domainsAsked(election.leaderHeardAt(), round.askedAt, reached, heard)) {
      onCutOff.run();
    }
  }
}
