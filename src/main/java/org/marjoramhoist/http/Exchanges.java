package org.marjoramhoist.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.function.BiConsumer;

/**
 * What servers here share: bodies read without blocking, replies written on the I/O thread.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Exchanges {

  private Exchanges() {}

  /** Reads the whole body and passes it on; the exchange then stays open until it is answered. */
  public static void receive(
      HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> receiver) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            exchange
                .getRequestReceiver()
                .receiveFullBytes(
                    (same, body) ->
                        same.dispatch(
                            SameThreadExecutor.INSTANCE, () -> receiver.accept(same, body)),
                    (same, error) -> endUnread(same, error)));
  }

  /** Ends an exchange whose body could not be read, which must not be answered as served. */
  private static void endUnread(HttpServerExchange exchange, IOException error) {
    if (!exchange.isResponseStarted()) {
      boolean isTooLong = error instanceof RequestTooBigException;
      exchange.setStatusCode(
          isTooLong ? StatusCodes.REQUEST_ENTITY_TOO_LARGE : StatusCodes.BAD_REQUEST);
    }
    exchange.endExchange();
  }

  /** Answers from any thread. */
  public static void reply(HttpServerExchange exchange, int status, String body) {
    exchange
        .getIoThread()
        .execute(
            () -> {
              exchange.setStatusCode(status);
              exchange.getResponseSender().send(body);
            });
  }
}
