package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.decision.Event.WriteResult;
import org.marjoramhoist.decision.ShardRecord;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.resource.ResourceDoc;

/**
 * The platform's store in virtual time: a fake of the store interface with conditional writes.
 *
 * <p>Confined to one thread.
 */
final class VirtualStore {

  private record Held(ShardRecord record, long revision) {}

  private final History history;
  private final Map<String, Held> shards = new HashMap<>();
  private final Map<String, TreeMap<String, List<ClaimEntry>>> logs = new HashMap<>();
  private final Map<String, ResourceDoc> config = new TreeMap<>();
  private final Map<String, Consumer<Event>> watchers = new TreeMap<>();
  private long revision = 1;
  private long configRevision;
  private long calls;
  private boolean down;
  private int repliesToLose;

  VirtualStore(History history) {
    this.history = history;
  }

  void setDown(boolean isDown) {
    down = isDown;
    if (isDown) {
      List.copyOf(watchers.keySet()).forEach(this::cutWatch);
    }
  }

  /** Ends the watch of a host's incarnation, if it has one. */
  void cutWatch(String host) {
    Consumer<Event> watcher = watchers.remove(host);
    if (watcher != null) {
      watcher.accept(new Event.WatchLost());
    }
  }

  boolean isDown() {
    return down;
  }

  void loseReplies(int count) {
    repliesToLose = count;
  }

  long calls() {
    return calls;
  }

  /** Declares resources as one change. */
  void declare(List<ResourceDoc> docs) {
    long base = configRevision;
    configRevision = ++revision;
    List<ResourceDoc> stored = new ArrayList<>();
    for (ResourceDoc doc : docs) {
      ResourceDoc next = new ResourceDoc(doc.key(), configRevision, doc.json());
      config.put(doc.key(), next);
      stored.add(next);
    }
    Event event = new Event.ConfigSeen(base, configRevision, stored, List.of());
    List.copyOf(watchers.values()).forEach(watcher -> watcher.accept(event));
  }

  /** Returns the event that answers an action; null for none. */
  Event run(String host, Action action, Consumer<Event> watcher) {
    calls++;
    if (action instanceof Action.ReadShard a) {
      return read(a);
    } else if (action instanceof Action.WriteShard a) {
      return write(a);
    } else if (action instanceof Action.LogClaims a) {
      return log(a);
    } else if (action instanceof Action.WriteAccounts a) {
      return account(host, a);
    } else if (action instanceof Action.WatchConfig a) {
      return watch(host, a, watcher);
    }
    throw new IllegalArgumentException("not a store action: " + action);
  }

  private boolean losesReply() {
    if (repliesToLose > 0) {
      repliesToLose--;
      return true;
    }
    return false;
  }

  private Event read(Action.ReadShard a) {
    if (down) {
      return new Event.ShardRead(a.shard(), false, null, 0, null);
    }
    Held held = shards.get(a.shard());
    List<ClaimEntry> claims = null;
    if (a.withClaims()) {
      claims = new ArrayList<>();
      for (List<ClaimEntry> batch : logOf(a.shard()).values()) {
        claims.addAll(batch);
      }
    }
    return new Event.ShardRead(
        a.shard(),
        true,
        held == null ? null : held.record,
        held == null ? 0 : held.revision,
        claims);
  }

  private TreeMap<String, List<ClaimEntry>> logOf(String shard) {
    return logs.computeIfAbsent(shard, key -> new TreeMap<>());
  }

  private long revisionOf(String shard) {
    Held held = shards.get(shard);
    return held == null ? 0 : held.revision;
  }

  private Event write(Action.WriteShard a) {
    long epoch = a.record().epoch();
    if (down) {
      return new Event.ShardWritten(a.shard(), epoch, WriteResult.UNKNOWN, 0);
    }
    boolean holds = revisionOf(a.shard()) == a.expectedRevision();
    if (holds) {
      shards.put(a.shard(), new Held(a.record(), ++revision));
      if (a.logChange() != Action.LogChange.KEEP) {
        logOf(a.shard()).clear();
      }
      if (a.logChange() == Action.LogChange.REPLACE) {
        logOf(a.shard()).put(batchKey(epoch, 0), a.logged());
      }
    }
    if (losesReply()) {
      return new Event.ShardWritten(a.shard(), epoch, WriteResult.UNKNOWN, 0);
    }
    WriteResult result = holds ? WriteResult.DONE : WriteResult.REFUSED;
    return new Event.ShardWritten(a.shard(), epoch, result, revisionOf(a.shard()));
  }

  private static String batchKey(long epoch, long batch) {
    return String.format(Locale.ROOT, "%016d-%012d", epoch, batch);
  }

  private Event log(Action.LogClaims a) {
    boolean holds = !down && revisionOf(a.shard()) == a.expectedRevision();
    if (holds) {
      if (a.replacesEarlier()) {
        logOf(a.shard()).clear();
      }
      logOf(a.shard()).put(batchKey(a.epoch(), a.batch()), a.entries());
    }
    WriteResult result = holds ? WriteResult.DONE : WriteResult.REFUSED;
    if (down || losesReply()) {
      result = WriteResult.UNKNOWN;
    }
    return new Event.ClaimsLogged(a.shard(), a.epoch(), a.batch(), result);
  }

  private Event account(String host, Action.WriteAccounts a) {
    if (!down) {
      history.account(host + "/" + a.seq(), a.rows());
    }
    return new Event.AccountsWritten(a.seq(), !down && !losesReply());
  }

  private Event watch(String host, Action.WatchConfig a, Consumer<Event> watcher) {
    watchers.remove(host);
    if (!a.on()) {
      return null;
    }
    if (down) {
      return new Event.WatchLost();
    }
    watchers.put(host, watcher);
    return new Event.ConfigSeen(-1, configRevision, List.copyOf(config.values()), List.of());
  }

  /** Returns the record of a shard; null if there is none. */
  ShardRecord record(String shard) {
    Held held = shards.get(shard);
    return held == null ? null : held.record;
  }
}
