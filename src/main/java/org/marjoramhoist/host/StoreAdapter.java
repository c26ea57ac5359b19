package org.marjoramhoist.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.marjoramhoist.account.AccountBatch;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.decision.Event.WriteResult;
import org.marjoramhoist.decision.ShardRecord;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.platform.Store;
import org.marjoramhoist.platform.Store.Condition;
import org.marjoramhoist.platform.Store.Op;
import org.marjoramhoist.platform.StoreKeys;
import org.marjoramhoist.resource.ResourceDoc;

/**
 * Carries out the actions that concern the store, and turns its answers into events.
 *
 * <p>Every action but a watch yields exactly one event. Safe for use by several threads.
 */
final class StoreAdapter {

  private static final int ENTRIES_PER_VALUE = 2_000;
  private static final TypeReference<List<ClaimEntry>> CLAIMS = new TypeReference<>() {};

  private final Store store;
  private final HostRef self;
  private final Consumer<Event> events;
  private final AtomicReference<Store.Watch> watch = new AtomicReference<>();
  private final AtomicBoolean up = new AtomicBoolean(true);

  StoreAdapter(Store store, HostRef self, Consumer<Event> events) {
    this.store = store;
    this.self = self;
    this.events = events;
  }

  /** Tells whether the last call was answered. */
  boolean isUp() {
    return up.get();
  }

  private WriteResult resultOf(Store.TxnResult result, Throwable error) {
    note(error);
    if (error != null) {
      return WriteResult.UNKNOWN;
    }
    return result.committed() ? WriteResult.DONE : WriteResult.REFUSED;
  }

  private void note(Throwable error) {
    boolean works = error == null;
    if (up.getAndSet(works) != works) {
      if (works) {
        EventLog.info(LogEvent.STORE_UP, "the store answers again");
      } else {
        EventLog.warn(LogEvent.STORE_DOWN, "{}", unwrap(error).getMessage());
      }
    }
  }

  private static Throwable unwrap(Throwable error) {
    return error instanceof CompletionException && error.getCause() != null
        ? error.getCause()
        : error;
  }

  void readShard(Action.ReadShard read) {
    List<Op> steps = new ArrayList<>();
    String key = StoreKeys.shard(read.shard());
    steps.add(new Op.Read(key, key + '\0'));
    if (read.withClaims()) {
      String prefix = StoreKeys.claims(read.shard());
      steps.add(new Op.Read(prefix, Store.prefixRangeEnd(prefix)));
    }
    store
        .txn(List.of(), steps)
        .whenComplete(
            (result, error) -> {
              note(error);
              events.accept(shardRead(read, result, error));
            });
  }

  private static Event shardRead(Action.ReadShard read, Store.TxnResult result, Throwable error) {
    Event.ShardRead failed = new Event.ShardRead(read.shard(), false, null, 0, null);
    if (error != null) {
      return failed;
    }
    try {
      List<ClaimEntry> claims = read.withClaims() ? claimsOf(result.reads().get(1)) : null;
      List<Store.Entry> entries = result.reads().get(0).entries();
      if (entries.isEmpty()) {
        return new Event.ShardRead(read.shard(), true, null, 0, claims);
      }
      Store.Entry entry = entries.get(0);
      ShardRecord record = JsonText.MAPPER.readValue(entry.value(), ShardRecord.class);
      return new Event.ShardRead(read.shard(), true, record, entry.modRevision(), claims);
    } catch (JsonProcessingException e) {
      EventLog.fault("shard record " + read.shard(), e);
      return failed;
    }
  }

  private static List<ClaimEntry> claimsOf(Store.Range range) throws JsonProcessingException {
    List<ClaimEntry> claims = new ArrayList<>();
    for (Store.Entry entry : range.entries()) {
      claims.addAll(JsonText.MAPPER.readValue(entry.value(), CLAIMS));
    }
    return claims;
  }

  void writeShard(Action.WriteShard write) {
    String key = StoreKeys.shard(write.shard());
    String prefix = StoreKeys.claims(write.shard());
    long epoch = write.record().epoch();
    List<Op> steps = new ArrayList<>();
    steps.add(new Op.Put(key, JsonText.of(write.record()), 0));
    if (write.logChange() != Action.LogChange.KEEP) {
      steps.add(new Op.Delete(prefix, StoreKeys.claimBatch(write.shard(), epoch, 0)));
    }
    int values = 0;
    for (int from = 0; from < write.logged().size(); from += ENTRIES_PER_VALUE) {
      int to = Math.min(write.logged().size(), from + ENTRIES_PER_VALUE);
      String batch = StoreKeys.claimBatch(write.shard(), epoch, 0) + "-" + values++;
      steps.add(new Op.Put(batch, JsonText.of(write.logged().subList(from, to)), 0));
    }
    store
        .txn(List.of(new Condition(key, write.expectedRevision())), steps)
        .whenComplete(
            (result, error) -> {
              long revision = error == null ? result.revision() : 0;
              events.accept(
                  new Event.ShardWritten(write.shard(), epoch, resultOf(result, error), revision));
            });
  }

  void logClaims(Action.LogClaims log) {
    String key = StoreKeys.claimBatch(log.shard(), log.epoch(), log.batch());
    List<Op> steps = new ArrayList<>();
    if (log.replacesEarlier()) {
      steps.add(new Op.Delete(StoreKeys.claims(log.shard()), key));
    }
    steps.add(new Op.Put(key, JsonText.of(log.entries()), 0));
    Condition condition = new Condition(StoreKeys.shard(log.shard()), log.expectedRevision());
    store
        .txn(List.of(condition), steps)
        .whenComplete(
            (result, error) ->
                events.accept(
                    new Event.ClaimsLogged(
                        log.shard(), log.epoch(), log.batch(), resultOf(result, error))));
  }

  void writeAccounts(Action.WriteAccounts write) {
    String key = StoreKeys.accountBatch(self.host().value(), self.boot(), write.seq());
    String value = JsonText.of(new AccountBatch(write.seq(), write.last(), write.rows()));
    store
        .txn(List.of(), List.of(new Op.Put(key, value, 0)))
        .whenComplete(
            (result, error) -> {
              note(error);
              events.accept(new Event.AccountsWritten(write.seq(), error == null));
            });
  }

  /** Starts to watch the configuration, or stops to. */
  void watchConfig(Action.WatchConfig action) {
    Store.Watch before = watch.getAndSet(null);
    if (before != null) {
      before.close();
    }
    if (!action.on()) {
      return;
    }
    store
        .range(StoreKeys.CONFIG, Store.prefixRangeEnd(StoreKeys.CONFIG))
        .whenComplete(
            (range, error) -> {
              note(error);
              if (error != null) {
                events.accept(new Event.WatchLost());
              } else {
                startWatch(range);
              }
            });
  }

  private void startWatch(Store.Range range) {
    long head = headOf(range.entries());
    events.accept(new Event.ConfigSeen(-1, head, docsOf(range.entries()), List.of()));
    Store.WatchListener listener =
        new Store.WatchListener() {
          private long seen = head;

          @Override
          public void changed(long revision, List<Store.Change> changes) {
            Map<String, Store.Change> last = new LinkedHashMap<>();
            changes.forEach(change -> last.put(change.key(), change));
            List<Store.Entry> changed = new ArrayList<>();
            List<String> deleted = new ArrayList<>();
            for (Store.Change change : last.values()) {
              if (change instanceof Store.Change.Put put) {
                changed.add(put.entry());
              } else {
                deleted.add(change.key());
              }
            }
            long next = Math.max(seen, headOf(changed));
            List<String> keys =
                deleted.stream().map(key -> key.substring(StoreKeys.CONFIG.length())).toList();
            events.accept(new Event.ConfigSeen(seen, next, docsOf(changed), keys));
            seen = next;
          }

          @Override
          public void ended() {
            events.accept(new Event.WatchLost());
          }
        };
    watch.set(store.watch(StoreKeys.CONFIG, range.revision() + 1, listener));
  }

  private static long headOf(List<Store.Entry> entries) {
    return entries.stream()
        .filter(entry -> entry.key().equals(StoreKeys.CONFIG_HEAD))
        .mapToLong(Store.Entry::modRevision)
        .findFirst()
        .orElse(0);
  }

  private static List<ResourceDoc> docsOf(List<Store.Entry> entries) {
    return entries.stream()
        .filter(entry -> !entry.key().equals(StoreKeys.CONFIG_HEAD))
        .map(
            entry ->
                new ResourceDoc(
                    entry.key().substring(StoreKeys.CONFIG.length()),
                    entry.modRevision(),
                    entry.value()))
        .toList();
  }
}
