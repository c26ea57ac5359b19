package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.JournalBatch;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.KeyValueClient.Condition;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.KeyValueClient.Page;
import org.marjoramhoist.platform.KeyValueClient.Put;
import org.marjoramhoist.platform.KeyValueClient.TxnReply;
import org.marjoramhoist.platform.StoreException;

/**
 * Reads and writes durable jobs for one term.
 *
 * <p>Every write is conditional on the leader record and on the previous write, and sets a key that
 * identifies it. So no write of an earlier term takes effect once this term has started to write, a
 * write whose reply was lost can't take effect after a later one, and the key shows whether it did.
 * Confined to the event loop's thread.
 */
final class JobStore extends TermStore {

  private static final String LAST_WRITE_KEY = JobRecords.ROOT + "writer/0";

  private long lastWriteRevision;
  private int ordinal;
  private JournalBatch batch;

  /**
   * Creates the store of a term.
   *
   * @param term the revision of the leader record that names this host
   * @param events receives the results of reads and writes
   * @param onSuperseded receives the reason if another host writes jobs
   */
  JobStore(
      long term,
      KeyValueClient store,
      StoreHealth health,
      EventLoop loop,
      Consumer<DispatchEvent> events,
      Consumer<String> onSuperseded) {
    super(term, store, health, loop, events, onSuperseded);
  }

  /**
   * The last write, as identified by the key that every write sets.
   *
   * @param revision the revision of the write; 0 if there is none yet
   */
  private record LastWrite(long term, int ordinal, long batch, long revision) {

    private static final LastWrite NONE = new LastWrite(0, 0, 0, 0);

    static LastWrite read(Item item) {
      String[] parts = item.value().split(" ");
      return new LastWrite(
          Long.parseLong(parts[0]),
          Integer.parseInt(parts[1]),
          Long.parseLong(parts[2]),
          item.revision());
    }
  }

  /** Returns the last write if its key is among the items, otherwise {@link LastWrite#NONE}. */
  private static LastWrite findLastWrite(List<Item> items) {
    for (Item item : items) {
      if (item.key().equals(LAST_WRITE_KEY) && item.value() != null) {
        return LastWrite.read(item);
      }
    }
    return LastWrite.NONE;
  }

  /** Prevents writes of earlier terms, then reads the stored jobs. */
  void start() {
    store
        .readAll(LAST_WRITE_KEY)
        .whenComplete((page, error) -> executeUnlessClosed(() -> handleLastWrite(page, error)));
  }

  private void handleLastWrite(Page page, Throwable error) {
    if (error != null) {
      retry(error, this::start);
      return;
    }
    recordSuccess();
    LastWrite last = findLastWrite(page.items());
    lastWriteRevision = last.revision();
    if (last.term() == term) {
      ordinal = last.ordinal();
      load();
    } else if (last.term() > term) {
      onSuperseded.accept("a later term writes jobs");
    } else {
      ordinal = last.ordinal() + 1;
      commit(0, List.of(), List.of())
          .whenComplete(
              (reply, failure) -> executeUnlessClosed(() -> handleTermWrite(reply, failure)));
    }
  }

  private CompletableFuture<TxnReply> commit(
      long batchNumber, List<Put> puts, List<String> deletes) {
    List<Condition> conditions =
        List.of(
            new Condition(HostRegistration.LEADER, term),
            new Condition(LAST_WRITE_KEY, lastWriteRevision));
    List<Put> allPuts = new ArrayList<>(puts);
    allPuts.add(new Put(LAST_WRITE_KEY, term + " " + ordinal + " " + batchNumber, 0));
    return store.txn(conditions, allPuts, deletes);
  }

  private void handleTermWrite(TxnReply reply, Throwable error) {
    if (error != null) {
      retry(error, this::start);
    } else if (reply.committed()) {
      recordSuccess();
      lastWriteRevision = reply.revision();
      load();
    } else {
      retry(
          new IllegalStateException("the job writer key or the leader record has changed"),
          this::start);
    }
  }

  /** Reads the stored jobs page by page; one page is held at a time, beside the jobs themselves. */
  private void load() {
    StoredJobs jobs = new StoredJobs();
    store
        .readEach(JobRecords.ENDED, jobs::addEnded)
        .thenCompose(asOf -> store.readEach(JobRecords.PROGRESS, jobs::addProgress))
        .thenCompose(asOf -> store.readEach(JobRecords.RECORDS, jobs::addRecord))
        .whenComplete((asOf, error) -> executeUnlessClosed(() -> handleJobs(jobs, error)));
  }

  private void handleJobs(StoredJobs jobs, Throwable error) {
    if (error != null) {
      retry(error, this::load);
      return;
    }
    recordSuccess();
    events.accept(new DispatchEvent.JobsLoaded(ordinal, jobs.open(), jobs.ended()));
  }

  /** Writes a batch and retries until it is stored or refused; only one may be in flight. */
  void write(JournalBatch next) {
    batch = next;
    writeBatch();
  }

  private void writeBatch() {
    commit(batch.number(), JobRecords.puts(batch), JobRecords.deletes(batch))
        .whenComplete((reply, error) -> executeUnlessClosed(() -> handleBatchReply(reply, error)));
  }

  private void handleBatchReply(TxnReply reply, Throwable error) {
    if (StoreException.isRefusal(error)) {
      // The store is at work, so that this is no outage; the batch would be refused again.
      recordSuccess();
      events.accept(new DispatchEvent.BatchRefused(batch.number(), error.getMessage()));
    } else if (error != null) {
      retry(error, this::writeBatch);
    } else if (reply.committed()) {
      completeBatch(reply.revision());
    } else {
      handleBatchConflict(reply.current());
    }
  }

  private void completeBatch(long revision) {
    recordSuccess();
    lastWriteRevision = revision;
    events.accept(new DispatchEvent.BatchStored(batch.number()));
  }

  /** Handles a batch whose conditions failed, by the current values of the keys. */
  private void handleBatchConflict(List<Item> current) {
    LastWrite last = findLastWrite(current);
    if (last.term() > term) {
      onSuperseded.accept("a later term writes jobs");
    } else if (last.term() == term && last.batch() == batch.number()) {
      completeBatch(last.revision());
    } else {
      EventLog.warn(LogEvent.JOB_BATCH_REFUSED, "term={} batch={}", term, batch.number());
      retry(new IllegalStateException("the leader record has changed"), this::writeBatch);
    }
  }
}
