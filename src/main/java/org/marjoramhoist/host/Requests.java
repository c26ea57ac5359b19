package org.marjoramhoist.host;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.marjoramhoist.decision.Event;

/**
 * Requests that wait for the decisions to answer.
 *
 * <p>Safe for use by several threads.
 */
final class Requests {

  private final Map<Long, CompletableFuture<Object>> open = new ConcurrentHashMap<>();
  private final AtomicLong numbers = new AtomicLong();
  private final ScheduledExecutorService timer;
  private final Predicate publish;
  private final Consumer<Event> ended;

  /** Publishes an event unless the loop is overloaded. */
  interface Predicate {
    boolean publish(Event event);
  }

  Requests(ScheduledExecutorService timer, Predicate publish, Consumer<Event> ended) {
    this.timer = timer;
    this.publish = publish;
    this.ended = ended;
  }

  /**
   * Publishes the event of a request and awaits its answer.
   *
   * @param event makes the event from the number of the request
   * @param waitMillis how long to wait
   * @return completes with the answer, null after the wait, or {@link Busy}; never fails
   */
  CompletableFuture<Object> ask(LongFunction<Event> event, long waitMillis) {
    long number = numbers.incrementAndGet();
    CompletableFuture<Object> answer = new CompletableFuture<>();
    open.put(number, answer);
    if (!publish.publish(event.apply(number))) {
      open.remove(number);
      answer.complete(new Busy());
      return answer;
    }
    var timeout = timer.schedule(() -> giveUp(number, answer), waitMillis, TimeUnit.MILLISECONDS);
    answer.thenRun(() -> timeout.cancel(false));
    return answer;
  }

  /** Says that the loop has no room for the request; nothing was done. */
  record Busy() {}

  private void giveUp(long number, CompletableFuture<Object> answer) {
    if (open.remove(number) != null) {
      ended.accept(new Event.WaitEnded(number));
      answer.complete(null);
    }
  }

  /** Completes a request. */
  void answer(long number, Object value) {
    CompletableFuture<Object> answer = open.remove(number);
    if (answer != null) {
      answer.complete(value);
    }
  }

  int size() {
    return open.size();
  }
}
