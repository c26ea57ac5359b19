package org.marjoramhoist.entry;

import java.util.function.Consumer;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.platform.KeyValueClient;

/**
 * Base class for a leader's access to its data in the key-value store during one term. Calls are
 * retried until the store responds; callbacks are discarded once the term is over.
 *
 * <p>Confined to the event loop's thread.
 */
abstract class TermStore implements AutoCloseable {

  private static final long INITIAL_RETRY_DELAY_MILLIS = 40;
  private static final long MAX_RETRY_DELAY_MILLIS = 400;

  /** The revision of the leader record that names this host. */
  final long term;

  final KeyValueClient store;

  /** Receives the results of reads and writes. */
  final Consumer<DispatchEvent> events;

  /** Receives the reason if another host was found to lead. */
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
      Consumer<String> onSuperseded) {
    this.term = term;
    this.store = store;
    this.events = events;
    this.onSuperseded = onSuperseded;
    this.loop = loop;
    this.retry = new StoreRetry(loop, health, INITIAL_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
  }

  /** Runs a task on the event loop unless the term is over by then. */
  final void executeUnlessClosed(Runnable task) {
    loop.execute(() -> runUnlessClosed(task));
  }

  private void runUnlessClosed(Runnable task) {
    if (!closed) {
      task.run();
    }
  }

  /** Records a successful call to the store. */
  final void recordSuccess() {
    retry.recordSuccess();
  }

  /** Records a failed call to the store and runs a task after the backoff delay. */
  final void retry(Throwable error, Runnable task) {
    retry.retry(error, () -> runUnlessClosed(task));
  }

  /** Runs a task after the initial retry delay without recording a failure. */
  final void executeAfterDelay(Runnable task) {
    loop.scheduleWithJitter(INITIAL_RETRY_DELAY_MILLIS, () -> runUnlessClosed(task));
  }

  @Override
  public final void close() {
    closed = true;
  }
}
