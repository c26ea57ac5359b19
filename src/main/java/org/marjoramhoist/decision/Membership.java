package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage.Heartbeat;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;

/**
 * Keeps what this host knows of the others from their heartbeats.
 *
 * <p>A host is suspected before it is taken for dead; a heartbeat of a newer incarnation proves the
 * death of the older one. Being taken for dead never makes a second start possible: it only lets a
 * member of a shard try to change the shard's record. Confined to one thread.
 */
public final class Membership {

  /** How a host is seen. */
  public enum State {
    /** It was heard lately. */
    ALIVE,
    /** It was not heard for the suspicion time, which is shorter once its connection broke. */
    SUSPECT,
    /** It was not heard for the death time. */
    DEAD
  }

  /** What is known of another host. */
  public static final class Peer {
    private HostRef ref;
    private long lastHeard;
    private State state = State.ALIVE;
    private boolean unlinked;
    private Heartbeat last;
    private DomainId domain;

    /** Returns the newest incarnation that was heard. */
    public HostRef ref() {
      return ref;
    }

    /** Returns how the host is seen. */
    public State state() {
      return state;
    }

    /** Returns its last heartbeat. */
    public Heartbeat last() {
      return last;
    }

    /** Returns its failure domain. */
    public DomainId domain() {
      return domain;
    }
  }

  private final Policy policy;
  private final Map<HostId, Peer> peers = new TreeMap<>();
  private final Map<String, List<HostRef>> ranks = new HashMap<>();
  private final Map<String, List<HostRef>> ranksWithSelf = new HashMap<>();

  /** Creates an empty membership. */
  public Membership(Policy policy) {
    this.policy = policy;
  }

  /**
   * Takes in a heartbeat.
   *
   * @return whether the set of hosts, or the state of one, has changed
   */
  public boolean heard(long now, HostRef from, Heartbeat beat, Actions out) {
    Peer peer = peers.get(from.host());
    if (peer != null && peer.ref.supersedes(from)) {
      return false;
    }
    boolean changed = peer == null || !peer.ref.equals(from) || peer.state != State.ALIVE;
    if (peer == null) {
      peer = new Peer();
      peers.put(from.host(), peer);
      out.log(LogEvent.PEER_JOINED, "host=" + from + " domain=" + beat.domain());
    } else if (from.supersedes(peer.ref)) {
      out.log(LogEvent.PEER_DEAD, "host=" + peer.ref + " replacedBy=" + from);
    }
    changed |= peer.last != null && peer.last.draining() != beat.draining();
    peer.ref = from;
    peer.lastHeard = now;
    peer.unlinked = false;
    peer.state = State.ALIVE;
    peer.last = beat;
    peer.domain = new DomainId(beat.domain());
    forgetRanks(changed);
    return changed;
  }

  /** Takes in that the connection to a host broke; it is suspected once a heartbeat is missed. */
  public void linkLost(HostId host) {
    Peer peer = peers.get(host);
    if (peer != null) {
      peer.unlinked = true;
    }
  }

  /**
   * Moves silent hosts on to suspected and dead.
   *
   * @return whether the state of a host has changed
   */
  public boolean tick(long now, Actions out) {
    boolean changed = false;
    for (Peer peer : peers.values()) {
      State before = peer.state;
      peer.state = stateAt(now, peer);
      if (peer.state != before) {
        changed = true;
        logChange(peer, out);
      }
    }
    forgetRanks(changed);
    return changed;
  }

  private void forgetRanks(boolean changed) {
    if (changed) {
      ranks.clear();
      ranksWithSelf.clear();
    }
  }

  private State stateAt(long now, Peer peer) {
    long factor = isLocal(peer) ? 1 : policy.remoteHeartbeat() / policy.heartbeat();
    long silence = now - peer.lastHeard;
    if (silence >= policy.deadAfter() * factor) {
      return State.DEAD;
    }
    long suspectAfter = peer.unlinked ? policy.suspectUnlinkedAfter() : policy.suspectAfter();
    return silence >= suspectAfter * factor ? State.SUSPECT : State.ALIVE;
  }

  private static void logChange(Peer peer, Actions out) {
    if (peer.state == State.SUSPECT) {
      out.log(LogEvent.PEER_SUSPECTED, "host=" + peer.ref);
    } else if (peer.state == State.DEAD) {
      out.log(LogEvent.PEER_DEAD, "host=" + peer.ref);
    }
  }

  private boolean isLocal(Peer peer) {
    return peer.domain.equals(policy.domain());
  }

  /** Returns all hosts ever heard but this one. */
  public Collection<Peer> peers() {
    return peers.values();
  }

  /** Returns what is known of a host; null if it was never heard. */
  public Peer peer(HostId host) {
    return peers.get(host);
  }

  /** Tells whether this very incarnation was heard lately, or is this host. */
  public boolean isAlive(HostRef ref) {
    if (ref.equals(policy.self())) {
      return true;
    }
    Peer peer = peers.get(ref.host());
    return peer != null && peer.ref.equals(ref) && peer.state != State.DEAD;
  }

  /** Tells whether a newer incarnation proves that this one has ended. */
  public boolean isSuperseded(HostRef ref) {
    if (policy.self().supersedes(ref)) {
      return true;
    }
    Peer peer = peers.get(ref.host());
    return peer != null && peer.ref.supersedes(ref);
  }

  /** Tells whether the incarnation can't be relied on for a role: silent, unknown or stopping. */
  public boolean isUnfit(HostRef ref) {
    if (ref.equals(policy.self())) {
      return false;
    }
    if (!isAlive(ref)) {
      return true;
    }
    Peer peer = peers.get(ref.host());
    return peer.state == State.SUSPECT || peer.last.draining();
  }

  /** Tells whether any host that may come to own the shard is not taken for dead. */
  public boolean hasHostFor(String shard) {
    String domain = Shards.domainOf(shard);
    if (policy.domain().value().equals(domain)) {
      return true;
    }
    return peers.values().stream()
        .anyMatch(peer -> peer.state != State.DEAD && peer.domain.value().equals(domain));
  }

  /**
   * Returns the incarnations that may hold a shard of a domain, the most preferred first: hosts of
   * the domain before others, then by rendezvous weight.
   *
   * @param shard the shard
   * @param selfFit whether this host is among them
   */
  public List<HostRef> rank(String shard, boolean selfFit) {
    Map<String, List<HostRef>> known = selfFit ? ranksWithSelf : ranks;
    return known.computeIfAbsent(shard, key -> computeRank(key, selfFit));
  }

  private List<HostRef> computeRank(String shard, boolean selfFit) {
    String domain = Shards.domainOf(shard);
    Map<HostId, Boolean> foreign = new HashMap<>();
    List<HostRef> fit = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.state == State.ALIVE && !peer.last.draining()) {
        fit.add(peer.ref);
        foreign.put(peer.ref.host(), !peer.domain.value().equals(domain));
      }
    }
    if (selfFit) {
      fit.add(policy.self());
      foreign.put(policy.self().host(), !policy.domain().value().equals(domain));
    }
    var byWeight = Shards.preference(shard);
    fit.sort(
        (a, b) -> {
          int byDomain = Boolean.compare(foreign.get(a.host()), foreign.get(b.host()));
          return byDomain != 0 ? byDomain : byWeight.compare(a.host(), b.host());
        });
    return fit;
  }

  /** Returns the hosts of this domain that are not taken for dead, without this one. */
  public List<Peer> localPeers() {
    return peers.values().stream().filter(p -> isLocal(p) && p.state != State.DEAD).toList();
  }
}
