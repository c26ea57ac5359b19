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

/**
 * Reads and writes durable jobs for one term.
 *
 * <p>Every change depends on the leader's record and on the last change before it, and sets a key
 * that names it. So no change of an earlier term takes effect once this term has begun to write, a
 * change whose answer was lost can't take effect after a later one, and that key tells whether it
 * did. Confined to the loop's thread.
 */
final class JobStore extends TermStore {

  private static final String WRITER = JobRecords.ROOT + "writer/0";

  private long writerRevision;
  private int ordinal;
  private JournalBatch batch;

  /**
   * Creates the access of a term.
   *
   * @param term the revision of the record that names this host
   * @param events takes what was read and written
   * @param onStale is told when another host writes
   */
  JobStore(
      long term,
      KeyValueClient store,
      StoreHealth health,
      EventLoop loop,
      Consumer<DispatchEvent> events,
      Consumer<String> onStale) {
    super(term, store, health, loop, events, onStale);
  }

  /**
   * The last change, as the key that every change sets tells it.
   *
   * @param revision the revision of the change; 0 if there is none yet
   */
  private record Writer(long term, int ordinal, long batch, long revision) {

    private static final Writer NONE = new Writer(0, 0, 0, 0);

    static Writer read(Item item) {
      String[] parts = item.value().split(" ");
      return new Writer(
          Long.parseLong(parts[0]),
          Integer.parseInt(parts[1]),
          Long.parseLong(parts[2]),
          item.revision());
    }
  }

  /** Returns the last change, if its key is among the items; otherwise {@link Writer#NONE}. */
  private static Writer lastOf(List<Item> items) {
    for (Item item : items) {
      if (item.key().equals(WRITER) && item.value() != null) {
        return Writer.read(item);
      }
    }
    return Writer.NONE;
  }

  /** Takes over from earlier terms, then reads what they stored. */
  void start() {
    store.readAll(WRITER).whenComplete((page, error) -> later(() -> writerRead(page, error)));
  }

  private void writerRead(Page page, Throwable error) {
    if (error != null) {
      retry(error, this::start);
      return;
    }
    reached();
    Writer last = lastOf(page.items());
    writerRevision = last.revision();
    if (last.term() == term) {
      ordinal = last.ordinal();
      load();
    } else if (last.term() > term) {
      onSuperseded.accept("a later term writes jobs");
    } else {
      ordinal = last.ordinal() + 1;
      change(0, List.of(), List.of())
          .whenComplete((reply, failure) -> later(() -> claimed(reply, failure)));
    }
  }

  private CompletableFuture<TxnReply> change(long number, List<Put> puts, List<String> deletes) {
    List<Condition> conditions =
        List.of(
            new Condition(HostRegistration.LEADER, term), new Condition(WRITER, writerRevision));
    List<Put> all = new ArrayList<>(puts);
    all.add(new Put(WRITER, term + " " + ordinal + " " + number, 0));
    return store.txn(conditions, all, deletes);
  }

  private void claimed(TxnReply reply, Throwable error) {
    if (error != null) {
      retry(error, this::start);
    } else if (reply.committed()) {
      reached();
      writerRevision = reply.revision();
      load();
    } else {
      retry(new IllegalStateException("the jobs' writer or the leader has changed"), this::start);
    }
  }

  private void load() {
    CompletableFuture<Page> records = store.readAll(JobRecords.RECORDS);
    CompletableFuture<Page> progress = store.readAll(JobRecords.PROGRESS);
    CompletableFuture<Page> ended = store.readAll(JobRecords.ENDED);
    CompletableFuture.allOf(records, progress, ended)
        .whenComplete(
            (none, error) ->
                later(
                    () -> {
                      if (error != null) {
                        retry(error, this::load);
                        return;
                      }
                      reached();
                      events.accept(
                          new DispatchEvent.JobsLoaded(
                              ordinal,
                              JobRecords.readOpen(records.join().items(), progress.join().items()),
                              JobRecords.readEnded(ended.join().items())));
                    }));
  }

  /** Stores a batch, however long it takes; only one may be on its way. */
  void write(JournalBatch next) {
    batch = next;
    send();
  }

  private void send() {
    change(batch.number(), JobRecords.puts(batch), JobRecords.deletes(batch))
        .whenComplete((reply, error) -> later(() -> answered(reply, error)));
  }

  private void answered(TxnReply reply, Throwable error) {
    if (error != null) {
      retry(error, this::send);
    } else if (reply.committed()) {
      stored(reply.revision());
    } else {
      conflicting(reply.current());
    }
  }

  private void stored(long revision) {
    reached();
    writerRevision = revision;
    events.accept(new DispatchEvent.BatchStored(batch.number()));
  }

  /** Takes in that the conditions of a batch did not hold; the keys tell why. */
  private void conflicting(List<Item> current) {
    Writer last = lastOf(current);
    if (last.term() > term) {
      onSuperseded.accept("a later term writes jobs");
    } else if (last.term() == term && last.batch() == batch.number()) {
      stored(last.revision());
    } else {
      EventLog.warn(LogEvent.JOB_BATCH_REFUSED, "term={} batch={}", term, batch.number());
      retry(new IllegalStateException("the leader's record has changed"), this::send);
    }
  }
}
