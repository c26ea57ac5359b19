package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramhoist.message.PeerMessage.ClaimRelease;
import org.marjoramhoist.message.PeerMessage.ClaimRequest;
import org.marjoramhoist.message.PeerMessage.Heartbeat;
import org.marjoramhoist.message.PeerMessage.Locate;
import org.marjoramhoist.message.PeerMessage.Replicate;
import org.marjoramhoist.message.PeerMessage.ReplicateAck;
import org.marjoramhoist.message.PeerMessage.ShardView;
import org.marjoramhoist.message.PeerMessage.Snapshot;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;

/**
 * Decides, for the shards that this host owns, who may start a submission, and knows who owns the
 * others.
 *
 * <p>Confined to one thread.
 */
public final class ClaimAuthority {

  private record Owner(HostRef ref, long epoch) {}

  private final Policy policy;
  private final Membership membership;
  private final Map<String, ShardKeeper> keepers = new TreeMap<>();
  private final Map<String, Owner> owners = new HashMap<>();
  private final GrantQueue.Replies replies;

  /**
   * Creates the authority of one host.
   *
   * @param local takes the replies to claims of this host itself
   */
  public ClaimAuthority(Policy policy, Membership membership, GrantQueue.Replies local) {
    this.policy = policy;
    this.membership = membership;
    this.replies =
        (to, reply, out) -> {
          if (to.equals(policy.self())) {
            local.reply(to, reply, out);
          } else {
            out.send(to.host(), reply);
          }
        };
    for (DomainId domain : policy.domains()) {
      for (int i = 0; i < policy.shardsPerDomain(); i++) {
        keeper(Shards.shardKey(domain, i));
      }
    }
  }

  private ShardKeeper keeper(String shard) {
    return keepers.computeIfAbsent(shard, key -> new ShardKeeper(key, policy, membership, replies));
  }

  private ShardKeeper known(String shard) {
    return keepers.get(shard);
  }

  /** Returns the host that owns a shard as far as is known; null if none is. */
  public HostId ownerOf(String shard) {
    if (keepers.get(shard).isOwner()) {
      return policy.self().host();
    }
    Owner owner = owners.get(shard);
    return owner != null && membership.isAlive(owner.ref) ? owner.ref.host() : null;
  }

  /** Returns the shards that this host decides. */
  public List<ShardView> owned() {
    List<ShardView> views = new ArrayList<>();
    for (Map.Entry<String, ShardKeeper> entry : keepers.entrySet()) {
      if (entry.getValue().isReady()) {
        views.add(new ShardView(entry.getKey(), entry.getValue().epoch()));
      }
    }
    return views;
  }

  /** Tells whether a shard would be left to nobody if this host stopped now. */
  public boolean holdsShards() {
    return keepers.values().stream().anyMatch(k -> k.isOwner() && k.record().standby() != null);
  }

  /** Returns how many claims this host holds, as owner or standby. */
  public int claimCount() {
    return keepers.values().stream().mapToInt(ShardKeeper::claimCount).sum();
  }

  /** Takes in which shards a host says it owns. */
  public void heard(HostRef from, Heartbeat beat) {
    for (ShardView view : beat.shards()) {
      Owner owner = owners.get(view.shard());
      if (owner == null || view.epoch() >= owner.epoch) {
        owners.put(view.shard(), new Owner(from, view.epoch()));
      }
      ShardKeeper keeper = known(view.shard());
      if (keeper != null) {
        keeper.ownerSeen(from, view.epoch());
      }
    }
  }

  /** Does what is due in each shard that concerns this host. */
  public void tick(long now, boolean settled, boolean selfFit, Actions out) {
    for (Map.Entry<String, ShardKeeper> entry : keepers.entrySet()) {
      if (concerns(entry.getKey(), entry.getValue())) {
        entry.getValue().tick(now, settled, selfFit, out);
      }
    }
  }

  private boolean concerns(String shard, ShardKeeper keeper) {
    if (Shards.domainOf(shard).equals(policy.domain().value()) || keeper.claimCount() > 0) {
      return true;
    }
    if (keeper.record() != null && keeper.record().isMember(policy.self())) {
      return true;
    }
    return membership.rank(shard, true).get(0).equals(policy.self());
  }

  /** Decides on a claim of this or another host. */
  public void claim(long now, HostRef from, ClaimRequest request, Actions out) {
    ShardKeeper keeper = known(request.shard());
    if (keeper != null) {
      keeper.claim(now, from, request.call(), request.entry(), out);
    }
  }

  /** Answers who may start a submission. */
  public void locate(long now, HostRef from, Locate question, Actions out) {
    ShardKeeper keeper = known(question.shard());
    if (keeper != null) {
      keeper.locate(now, from, question.call(), question.id(), out);
    }
  }

  /** Drops a claim that its starter will never use. */
  public void release(HostRef from, ClaimRelease release, Actions out) {
    ShardKeeper keeper = known(release.shard());
    if (keeper != null) {
      keeper.release(from, release.entry(), out);
    }
  }

  /** Takes in a part of a shard's copy. */
  public void snapshot(HostRef from, Snapshot part, Actions out) {
    ShardKeeper keeper = known(part.shard());
    if (keeper != null) {
      keeper.snapshot(from, part, out);
    }
  }

  /** Takes in a change of a shard's copy. */
  public void replicate(HostRef from, Replicate change, Actions out) {
    ShardKeeper keeper = known(change.shard());
    if (keeper != null) {
      keeper.replicate(from, change, out);
    }
  }

  /** Takes in what a copy holds. */
  public void acked(HostRef from, ReplicateAck ack, Actions out) {
    ShardKeeper keeper = known(ack.shard());
    if (keeper != null) {
      keeper.acked(from, ack, out);
    }
  }

  /** Takes in that the connection to a host broke. */
  public void linkLost(HostId host) {
    Membership.Peer peer = membership.peer(host);
    if (peer != null) {
      keepers.values().forEach(keeper -> keeper.linkLost(peer.ref()));
    }
  }

  /** Takes in what the store says of a shard. */
  public void storeEvent(long now, Event event, Actions out) {
    if (event instanceof Event.ShardRead read) {
      keeper(read.shard()).wasRead(now, read, out);
    } else if (event instanceof Event.ShardWritten written) {
      keeper(written.shard()).written(now, written, out);
    } else if (event instanceof Event.ClaimsLogged logged) {
      keeper(logged.shard()).logged(now, logged, out);
    }
  }
}
