package org.marjoramhoist.entry;

import java.util.List;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.KeyValueClient.Page;
import org.marjoramhoist.platform.KeyValueClient.WatchReply;

/**
 * Follows the keys under a prefix: reads them all, then hears of changes; reads again when changes
 * may have been missed.
 *
 * <p>Confined to the loop's thread.
 */
final class PrefixWatch {

  /** Hears of the keys. */
  interface Listener {
    /** The keys were read. */
    void replaced(List<Item> items, long asOf);

    /** A key changed. */
    void changed(Change change);
  }

  private static final long WAIT_MILLIS = 2_000;
  private static final long FIRST_PAUSE_MILLIS = 150;
  private static final long LONGEST_PAUSE_MILLIS = 800;
  private static final long UNREAD = -1;

  private final KeyValueClient store;
  private final String prefix;
  private final EventLoop loop;
  private final StoreRetry retry;
  private final List<Listener> listeners;
  private long asOf = UNREAD;

  PrefixWatch(
      KeyValueClient store,
      String prefix,
      EventLoop loop,
      StoreHealth health,
      Listener... listeners) {
    this.store = store;
    this.prefix = prefix;
    this.loop = loop;
    this.retry = new StoreRetry(loop, health, FIRST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
    this.listeners = List.of(listeners);
  }

  /** Begins, and goes on for as long as the loop runs. */
  void start() {
    if (asOf == UNREAD) {
      store.readAll(prefix).whenComplete((page, error) -> loop.execute(() -> read(page, error)));
    } else {
      store
          .watch(prefix, asOf, WAIT_MILLIS)
          .whenComplete((reply, error) -> loop.execute(() -> heard(reply, error)));
    }
  }

  private void read(Page page, Throwable error) {
    if (error != null) {
      retry.failed(error, this::start);
      return;
    }
    retry.reached();
    asOf = page.revision();
    listeners.forEach(listener -> listener.replaced(page.items(), asOf));
    start();
  }

  private void heard(WatchReply reply, Throwable error) {
    if (error != null) {
      retry.failed(error, this::start);
      return;
    }
    retry.reached();
    if (reply.compacted()) {
      asOf = UNREAD;
    } else {
      asOf = Math.max(asOf, reply.revision());
      for (Change change : reply.changes()) {
        listeners.forEach(listener -> listener.changed(change));
      }
    }
    start();
  }
}
