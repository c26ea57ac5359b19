package org.marjoramhoist.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
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
 * Reads and writes the roster for one term: a key for each worker that may have been given work.
 *
 * <p>Every change depends on the leader's record, so no change of an earlier term takes effect once
 * the roster was read. A removal depends on the key's last revision too, so one whose answer was
 * lost can't undo a later addition. An addition that takes effect late leaves a worker too many,
 * which a later leader asks in vain. Confined to the loop's thread.
 */
final class RosterStore extends TermStore {

  /** The root of all keys; hosts do not watch it. */
  private static final String ROOT = "marjoramhoist.roster/0/";

  private final Map<String, Long> revisions = new HashMap<>();
  private RosterChange change;

  /**
   * Creates the access of a term.
   *
   * @param term the revision of the record that names this host
   * @param events takes what was read and written
   * @param onSuperseded is told when another host leads
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

  /** Reads what earlier terms stored. */
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
      return StoredWorker.read(item.value());
    } catch (JsonProcessingException e) {
      EventLog.warn(
          LogEvent.STORED_WORKER_INVALID, "key={} reason={}", item.key(), e.getOriginalMessage());
      return withoutAddress(idOf(item));
    }
  }

  /** Returns a worker that can't be asked, so that runs on it are held to be at work. */
  private static WorkerInfo withoutAddress(String id) {
    Resources none = new Resources(0, 0, 0);
    return new WorkerInfo(id, "", "", "", none, "", "", Set.of(), false, 0);
  }

  /** Stores a change, however long it takes; only one may be on its way. */
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
   * Takes in that the conditions of a change did not hold; the keys tell why. A leader's record
   * that is gone names no other leader: it may have lapsed, and this term is over only once another
   * host has taken it.
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
