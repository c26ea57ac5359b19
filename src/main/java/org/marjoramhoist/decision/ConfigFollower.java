package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.List;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.message.PeerMessage.ConfigUpdate;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;

/**
 * Decides where this host learns the configuration from: the store, or another host.
 *
 * <p>The two most preferred hosts of each domain watch the store; the others follow whichever host
 * tells of a later revision. Confined to one thread.
 */
final class ConfigFollower {

  private static final int WATCHERS = 2;
  private static final long WATCH_RETRY = Policy.MICROS_PER_SECOND;
  private static final long REQUEST_RETRY = Policy.MICROS_PER_SECOND;

  private final Policy policy;
  private final Membership membership;
  private final Configuration config;
  private boolean watching;
  private long nextWatch;
  private long nextRequest;

  ConfigFollower(Policy policy, Membership membership, Configuration config) {
    this.policy = policy;
    this.membership = membership;
    this.config = config;
  }

  void tick(long now, Actions out) {
    boolean wanted = isWatcher();
    if (wanted && !watching && now >= nextWatch) {
      watching = true;
      out.add(new Action.WatchConfig(true, config.revision()));
    } else if (!wanted && watching) {
      watching = false;
      out.add(new Action.WatchConfig(false, config.revision()));
    }
  }

  private boolean isWatcher() {
    List<HostId> hosts = new ArrayList<>();
    hosts.add(policy.self().host());
    membership.localPeers().forEach(peer -> hosts.add(peer.ref().host()));
    hosts.sort(Shards.preference("watch/" + policy.domain()));
    return hosts.subList(0, Math.min(WATCHERS, hosts.size())).contains(policy.self().host());
  }

  void watchLost(long now) {
    watching = false;
    nextWatch = now + WATCH_RETRY;
  }

  /** Asks a host that tells of a later revision for it. */
  void heard(long now, HostRef from, long revision, Actions out) {
    if (revision > config.revision() && now >= nextRequest) {
      nextRequest = now + REQUEST_RETRY;
      out.send(from.host(), new PeerMessage.ConfigRequest(config.revision()));
    }
  }

  void asked(HostRef from, long since, Actions out) {
    if (config.revision() > since) {
      out.send(from.host(), config.since(since));
    }
  }

  /** Takes in an update; returns whether the revision in force has risen. */
  boolean updated(ConfigUpdate update, Actions out) {
    nextRequest = 0;
    return config.apply(
        update.baseRevision(), update.revision(), update.changed(), update.deleted(), out);
  }
}
