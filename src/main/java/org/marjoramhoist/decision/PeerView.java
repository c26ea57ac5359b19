package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramhoist.message.PeerMessage.Heartbeat;
import org.marjoramhoist.message.PeerMessage.WorkerHint;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.TeamId;

/**
 * Sends this host's heartbeats and spreads what others tell in theirs.
 *
 * <p>Confined to one thread.
 */
final class PeerView {

  private static final int KNOWN_PER_BEAT = 8;
  private static final String FREE_PREFIX = "free:";
  private static final String TEAM_PREFIX = "team:";
  private static final int TEAM_TASKS_TO_TELL = 50;

  private record Link(HostRef ref, String address, boolean local) {}

  private final Policy policy;
  private final Map<HostId, Link> links = new TreeMap<>();
  private final Set<String> dialled = new HashSet<>();
  private long seq;
  private long nextLocal;
  private long nextRemote;
  private int rotation;

  PeerView(Policy policy) {
    this.policy = policy;
    dialled.add(policy.address());
  }

  void linkUp(HostRef ref, String address, String domain) {
    links.put(ref.host(), new Link(ref, address, domain.equals(policy.domain().value())));
    dialled.add(address);
    nextLocal = 0;
    nextRemote = 0;
  }

  void linkLost(HostId host) {
    links.remove(host);
  }

  /** Sends the heartbeats that are due. */
  void tick(long now, HostCore core, Actions out) {
    boolean local = now >= nextLocal;
    boolean remote = now >= nextRemote;
    if (!local && !remote) {
      return;
    }
    Heartbeat beat = beat(core);
    for (Link link : links.values()) {
      if (link.local ? local : remote) {
        out.send(link.ref.host(), beat);
      }
    }
    if (local) {
      nextLocal = now + policy.heartbeat();
    }
    if (remote) {
      nextRemote = now + policy.remoteHeartbeat();
    }
  }

  private Heartbeat beat(HostCore core) {
    Scheduler scheduler = core.scheduler();
    Map<String, Integer> demand = new TreeMap<>(scheduler.demand());
    scheduler.freeSlots().forEach((upstream, free) -> demand.put(FREE_PREFIX + upstream, free));
    scheduler
        .usage()
        .atLeast(TEAM_TASKS_TO_TELL)
        .forEach((team, count) -> demand.put(TEAM_PREFIX + team, count));
    return new Heartbeat(
        ++seq,
        policy.address(),
        policy.domain().value(),
        core.isDraining(),
        core.configRevision(),
        core.claims().owned(),
        demand,
        someKnown(),
        scheduler.hints());
  }

  /** Names a few hosts in turn, so that all are named within a few heartbeats. */
  private Map<String, String> someKnown() {
    Map<String, String> known = new TreeMap<>();
    List<Link> all = new ArrayList<>(links.values());
    for (int i = 0; i < Math.min(KNOWN_PER_BEAT, all.size()); i++) {
      Link link = all.get((rotation + i) % all.size());
      known.put(link.ref.host().value(), link.address);
    }
    rotation += KNOWN_PER_BEAT;
    return known;
  }

  /** Spreads what a heartbeat tells of hosts, teams and workers. */
  void heard(long now, HostRef from, Heartbeat beat, Scheduler scheduler, Actions out) {
    for (Map.Entry<String, String> other : beat.known().entrySet()) {
      boolean self = other.getKey().equals(policy.self().host().value());
      if (!self && dialled.add(other.getValue())) {
        out.add(new Action.Dial(other.getValue()));
      }
    }
    Map<TeamId, Integer> teams = new HashMap<>();
    Map<String, Integer> free = new HashMap<>();
    beat.demand()
        .forEach(
            (key, count) -> {
              if (key.startsWith(TEAM_PREFIX)) {
                teams.put(new TeamId(key.substring(TEAM_PREFIX.length())), count);
              } else if (key.startsWith(FREE_PREFIX)) {
                free.put(key.substring(FREE_PREFIX.length()), count);
              }
            });
    scheduler.lending().heard(from, free);
    scheduler.usage().heard(from.host(), teams);
    for (WorkerHint hint : beat.workerHints()) {
      scheduler.hinted(now, hint, out);
    }
  }

  /** Returns the hosts that split the workers' slots with this one, and this one. */
  List<SlotShares.Sharer> sharers(Membership membership) {
    List<SlotShares.Sharer> sharers = new ArrayList<>();
    sharers.add(new SlotShares.Sharer(policy.self().host(), policy.domain()));
    for (Membership.Peer peer : membership.peers()) {
      boolean idle = peer.last().draining() && peer.last().demand().isEmpty();
      if (peer.state() != Membership.State.DEAD && !idle) {
        sharers.add(new SlotShares.Sharer(peer.ref().host(), peer.domain()));
      }
    }
    return sharers;
  }
}
