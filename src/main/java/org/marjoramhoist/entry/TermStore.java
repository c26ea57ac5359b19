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

  private static final long INITIAL_DELAY_MILLIS = 40;
  private static final long MAX_DELAY_MILLIS = 400;

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
      Consumer<String> onSuperseded) {
    this.term = term;
    this.store = store;
    this.events = events;
    this.onSuperseded = onSuperseded;
    this.loop = loop;
    this.retry = new StoreRetry(loop, health, INITIAL_DELAY_MILLIS, MAX_DELAY_MILLIS);
  }

  /** Runs a task on the loop, unless the term is over by then. */
  final void executeUnlessClosed(Runnable task) {
    loop.execute(() -> runUnlessClosed(task));
  }

  private void runUnlessClosed(Runnable task) {
    if (!closed) {
      task.run();
    }
  }

  /** Takes in that the store answered. */
  final void recordSuccess() {
    retry.recordSuccess();
  }

  /** Takes in that the store did not answer, and runs a task after a pause. */
  final void retry(Throwable error, Runnable task) {
    retry.retry(error, () -> runUnlessClosed(task));
  }

  /** Runs a task after a pause, without a failure of the store. */
  final void executeAfterDelay(Runnable task) {
    loop.scheduleWithJitter(INITIAL_DELAY_MILLIS, () -> runUnlessClosed(task));
  }

  @Override
  public final void close() {
    closed = true;
  }
}
