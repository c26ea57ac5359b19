package org.marjoramhoist.entry;

import java.util.List;
import java.util.function.Consumer;
import org.marjoramhoist.log.Faults;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.KeyValueClient.Page;
import org.marjoramhoist.platform.KeyValueClient.WatchReply;

/**
 * Watches the keys with a prefix: reads all of them, then receives changes, and reads again when
 * changes may have been missed. It goes on if a listener fails.
 *
 * <p>Confined to the event loop's thread.
 */
final class PrefixWatch {

  /** Receives the keys and their changes. */
  interface Listener {
    /** Called when all keys were read, with the store revision of the read. */
    void replaced(List<Item> items, long revision);

    /** Called when a key was written or deleted. */
    void changed(Change change);
  }

  private static final long WATCH_WAIT_MILLIS = 2_000;
  private static final long INITIAL_DELAY_MILLIS = 150;
  private static final long MAX_DELAY_MILLIS = 800;
  private static final long NOT_READ = -1;

  private final KeyValueClient store;
  private final String prefix;
  private final EventLoop loop;
  private final StoreRetry retry;
  private final List<Listener> listeners;
  private long revision = NOT_READ;

  PrefixWatch(
      KeyValueClient store,
      String prefix,
      EventLoop loop,
      StoreHealth health,
      Listener... listeners) {
    this.store = store;
    this.prefix = prefix;
    this.loop = loop;
    this.retry = new StoreRetry(loop, health, INITIAL_DELAY_MILLIS, MAX_DELAY_MILLIS);
    this.listeners = List.of(listeners);
  }

  /** Starts the watch, which continues for as long as the event loop runs. */
  void start() {
    if (revision == NOT_READ) {
      store
          .readAll(prefix)
          .whenComplete((page, error) -> loop.execute(() -> handleRead(page, error)));
    } else {
      store
          .watch(prefix, revision, WATCH_WAIT_MILLIS)
          .whenComplete((reply, error) -> loop.execute(() -> handleWatchReply(reply, error)));
    }
  }

  private void handleRead(Page page, Throwable error) {
    if (error != null) {
      retry.retry(error, this::start);
      return;
    }
    retry.recordSuccess();
    revision = page.revision();
    notifyListeners(listener -> listener.replaced(page.items(), revision));
    start();
  }

  private void handleWatchReply(WatchReply reply, Throwable error) {
    if (error != null) {
      retry.retry(error, this::start);
      return;
    }
    retry.recordSuccess();
    if (reply.compacted()) {
      revision = NOT_READ;
    } else {
      revision = Math.max(revision, reply.revision());
      for (Change change : reply.changes()) {
        notifyListeners(listener -> listener.changed(change));
      }
    }
    start();
  }

  /** Notifies each listener, regardless of whether another one fails. */
  private void notifyListeners(Consumer<Listener> notification) {
    listeners.forEach(
        listener -> Faults.contain("watch of " + prefix, () -> notification.accept(listener)));
  }
}
