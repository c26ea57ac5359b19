package org.marjoramhoist.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The exchanges with callers that are open: from a request that was read to the last byte of its
 * response, or the loss of its connection.
 *
 * <p>Confined to the listener's only I/O thread, except for {@link #count}.
 */
final class OpenExchanges {

  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final Set<HttpServerExchange> open = Collections.newSetFromMap(new IdentityHashMap<>());
  private volatile int count;
  private int served;
  private int refused;
  private int abandoned;
  private int broken;

  /** Returns a handler that counts its exchanges here and passes them on. */
  HttpHandler counting(HttpHandler next) {
    return exchange -> {
      add(exchange);
      next.handleRequest(exchange);
    };
  }

  private void add(HttpServerExchange exchange) {
    open.add(exchange);
    count = open.size();
    exchange.addExchangeCompleteListener(
        (completed, nextListener) -> {
          remove(completed);
          nextListener.proceed();
        });
  }

  private void remove(HttpServerExchange exchange) {
    if (!open.remove(exchange)) {
      return;
    }
    count = open.size();
    if (!exchange.isResponseComplete()) {
      broken++;
    } else if (exchange.getStatusCode() == UNAVAILABLE) {
      refused++;
    } else if (exchange.getStatusCode() == GATEWAY_TIMEOUT) {
      abandoned++;
    } else {
      served++;
    }
  }

  /** Returns the number of open exchanges; may be called from any thread. */
  int count() {
    return count;
  }

  /** Starts the totals of completed exchanges anew. */
  void startTotals() {
    served = 0;
    refused = 0;
    abandoned = 0;
    broken = 0;
  }

  private long countIf(Predicate<HttpServerExchange> predicate) {
    return open.stream().filter(predicate).count();
  }

  /** Returns the totals and the state of the open exchanges, as in a log line. */
  @Override
  public String toString() {
    return "served="
        + served
        + " refused="
        + refused
        + " abandoned="
        + abandoned
        + " broken="
        + broken
        + " open="
        + open.size()
        + " waiting="
        + countIf(exchange -> !exchange.isResponseStarted())
        + " unwritten="
        + countIf(HttpServerExchange::isResponseStarted);
  }
}
