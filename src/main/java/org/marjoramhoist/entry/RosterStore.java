package org.marjoramhoist.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.RosterChange;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.KeyValueClient.Condition;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.KeyValueClient.Page;
import org.marjoramhoist.platform.KeyValueClient.Put;
import org.marjoramhoist.platform.KeyValueClient.TxnReply;

/**
 * Reads and writes the roster for one term, with a key for each worker that may have been assigned
 * runs.
 *
 * <p>Every write is conditional on the leader record, so no write of an earlier term takes effect
 * once the roster was read. A removal is also conditional on the key's last revision, so one whose
 * reply was lost can't undo a later addition. An addition that takes effect late only leaves an
 * extra worker, which a later leader queries needlessly. Confined to the event loop's thread.
 */
final class RosterStore extends TermStore {

  /** The prefix of all keys; hosts do not watch it. */
  private static final String ROOT = "marjoramhoist.roster/0/";

  private final Map<String, Long> revisions = new HashMap<>();
  private RosterChange change;

  /**
   * Creates the store of a term.
   *
   * @param term the revision of the leader record that names this host
   * @param events receives the results of reads and writes
   * @param onSuperseded receives the reason if another host was found to lead
   */
  RosterStore(
      long term,
      KeyValueClient store,
      StoreHealth health,
      EventLoop loop,
      Consumer<DispatchEvent> events,
      Consumer<String> onSuperseded) {
    super(term, store, health, loop, events, onSuperseded);
  }

  /** Reads the roster that earlier terms stored. */
  void start() {
    read(items -> events.accept(new DispatchEvent.RosterLoaded(workersOf(items))));
  }

  private void read(Consumer<List<Item>> next) {
    store
        .readAll(ROOT)
        .whenComplete((page, error) -> executeUnlessClosed(() -> handleRead(page, error, next)));
  }

  private void handleRead(Page page, Throwable error, Consumer<List<Item>> next) {
    if (error != null) {
      retry(error, () -> read(next));
      return;
    }
    recordSuccess();
    revisions.clear();
    page.items().forEach(item -> revisions.put(idOf(item), item.revision()));
    next.accept(page.items());
  }

  private static String idOf(Item item) {
    return item.key().substring(ROOT.length());
  }

  private static List<WorkerInfo> workersOf(List<Item> items) {
    return items.stream().map(RosterStore::readWorker).toList();
  }

  private static WorkerInfo readWorker(Item item) {
    try {
      WorkerInfo worker = StoredWorker.read(item.value());
      if (!worker.id().equals(idOf(item))) {
        throw new IOException("the id is not that of the key");
      }
      return worker;
    } catch (IOException e) {
      EventLog.warn(LogEvent.STORED_WORKER_INVALID, "key={} reason={}", item.key(), e.getMessage());
      return withoutAddress(idOf(item));
    }
  }

  /** Returns a worker that can't be called, so that its runs count as possibly running. */
  private static WorkerInfo withoutAddress(String id) {
    Resources none = new Resources(0, 0, 0);
    return new WorkerInfo(id, "", "", "", none, "", "", Set.of(), false, 0);
  }

  /** Writes a change and retries until it is stored; only one change may be in flight. */
  void write(RosterChange next) {
    change = next;
    writeChange();
  }

  private void writeChange() {
    List<Condition> conditions = new ArrayList<>();
    conditions.add(new Condition(HostRegistration.LEADER, term));
    List<String> deletes = new ArrayList<>();
    for (String id : change.removed()) {
      Long revision = revisions.get(id);
      if (revision != null) {
        conditions.add(new Condition(ROOT + id, revision));
        deletes.add(ROOT + id);
      }
    }
    List<Put> puts =
        change.added().stream()
            .map(worker -> new Put(ROOT + worker.id(), StoredWorker.write(worker), 0))
            .toList();
    if (puts.isEmpty() && deletes.isEmpty()) {
      completeChange();
      return;
    }
    store
        .txn(conditions, puts, deletes)
        .whenComplete((reply, error) -> executeUnlessClosed(() -> handleReply(reply, error)));
  }

  private void handleReply(TxnReply reply, Throwable error) {
    if (error != null) {
      retry(error, this::writeChange);
    } else if (reply.committed()) {
      recordSuccess();
      change.added().forEach(worker -> revisions.put(worker.id(), reply.revision()));
      completeChange();
    } else {
      handleConflict(reply.current());
    }
  }

  private void completeChange() {
    change.removed().forEach(revisions::remove);
    events.accept(new DispatchEvent.RosterStored(change.number()));
  }

  /**
   * Handles a change whose conditions failed, by the current values of the keys. A missing leader
   * record does not end this term, as its lease may have expired; the term ends only when another
   * host has acquired the record.
   */
  private void handleConflict(List<Item> current) {
    if (current.stream().anyMatch(this::namesAnotherLeader)) {
      onSuperseded.accept("the record names another leader");
      return;
    }
    executeAfterDelay(() -> read(items -> writeChange()));
  }

  private boolean namesAnotherLeader(Item item) {
    boolean isRecord = item.key().equals(HostRegistration.LEADER) && item.value() != null;
    return isRecord && item.revision() != term;
  }
}
