package org.marjoramhoist.entry;

import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.marjoramhoist.listener.HttpListener;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Watches the connection of a caller that waits for a response, and tells when the caller has left.
 *
 * <p>A caller that closes its side of the connection counts as gone, as it can't be told from one
 * that has closed both; it is still sent a response. Bytes of a request that the caller has
 * pipelined are kept for the connection, up to a bound; beyond that the caller is not watched, as
 * it is at work.
 *
 * <p>Invariant: reports the departure at most once, and never after the exchange is complete.
 * Confined to the connection's I/O thread.
 */
final class DisconnectWatch {

  private final HttpServerConnection connection;
  private final StreamSourceConduit source;
  private final Runnable onDisconnect;
  private boolean ended;

  private DisconnectWatch(HttpServerConnection connection, Runnable onDisconnect) {
    this.connection = connection;
    this.source = connection.getOriginalSourceConduit();
    this.onDisconnect = onDisconnect;
  }

  /**
   * Watches the connection of an exchange, whose request was read, until the exchange is complete.
   *
   * @param onDisconnect is run on the I/O thread if the caller leaves
   */
  static void start(HttpServerExchange exchange, Runnable onDisconnect) {
    if (exchange.isComplete()
        || !(exchange.getConnection() instanceof HttpServerConnection connection)) {
      return;
    }
    DisconnectWatch watch = new DisconnectWatch(connection, onDisconnect);
    exchange.addExchangeCompleteListener(watch::exchangeCompleted);
    channel(connection).setReadListener(ready -> watch.readable(exchange));
    watch.source.resumeReads();
  }

  private static ConduitStreamSourceChannel channel(HttpServerConnection connection) {
    return connection.getChannel().getSourceChannel();
  }

  private void exchangeCompleted(
      HttpServerExchange exchange, ExchangeCompletionListener.NextListener next) {
    end();
    next.proceed();
  }

  /** Leaves the connection as it was, for the next request. */
  private void end() {
    if (!ended) {
      ended = true;
      source.suspendReads();
      channel(connection).setReadListener(null);
    }
  }

  private void readable(HttpServerExchange exchange) {
    if (ended) {
      return;
    }
    if (HttpListener.hasLeft(exchange)) {
      end();
      exchange.setPersistent(false);
      onDisconnect.run();
    }
  }
}
