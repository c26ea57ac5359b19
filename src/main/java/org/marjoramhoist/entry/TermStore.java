package org.marjoramhoist.entry;

import java.util.function.Consumer;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.platform.KeyValueClient;

/**
 * What a leader keeps in the store during one term: calls are repeated until they are answered, and
 * nothing more happens once the term is over.
 *
 * <p>Confined to the loop's thread.
 */
abstract class TermStore implements AutoCloseable {

  private static final long FIRST_PAUSE_MILLIS = 40;
  private static final long LONGEST_PAUSE_MILLIS = 400;

  /** The revision of the record that names this host. */
  final long term;

  final KeyValueClient store;

  /** Takes what was read and written. */
  final Consumer<DispatchEvent> events;

  /** Is told when another host leads. */
  final Consumer<String> onSuperseded;

  private final EventLoop loop;
  private final StoreRetry retry;
  private boolean closed;

  TermStore(
      long term,
      KeyValueClient store,
      StoreHealth health,
      EventLoop loop,
      Consumer<DispatchEvent> events,
      Consumer<String> onStale) {
    this.term = term;
    this.store = store;
    this.events = events;
    this.onSuperseded = onStale;
    this.loop = loop;
    this.retry = new StoreRetry(loop, health, FIRST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
  }

  /** Runs a task on the loop, unless the term is over by then. */
  final void later(Runnable task) {
    loop.execute(() -> unlessClosed(task));
  }

  private void unlessClosed(Runnable task) {
    if (!closed) {
      task.run();
    }
  }

  /** Takes in that the store answered. */
  final void reached() {
    retry.reached();
  }

  /** Takes in that the store did not answer, and runs a task after a pause. */
  final void retry(Throwable error, Runnable task) {
    retry.failed(error, () -> unlessClosed(task));
  }

  /** Runs a task after a pause, without a failure of the store. */
  final void afterPause(Runnable task) {
    loop.scheduleWithJitter(FIRST_PAUSE_MILLIS, () -> unlessClosed(task));
  }

  @Override
  public final void close() {
    closed = true;
  }
}
