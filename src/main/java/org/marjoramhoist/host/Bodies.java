package org.marjoramhoist.host;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.marjoramhoist.http.Replies;
import org.marjoramhoist.model.ErrorKind;

/**
 * Reads the bodies of requests within a limit.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Bodies {

  private Bodies() {}

  /** Reads the body as text; one that is too large or breaks off is answered with an error. */
  static void read(HttpServerExchange exchange, long maxBytes, Consumer<String> use) {
    if (exchange.getRequestContentLength() > maxBytes) {
      tooLarge(exchange, maxBytes);
      return;
    }
    exchange.setMaxEntitySize(maxBytes);
    exchange
        .getRequestReceiver()
        .receiveFullString(
            (ex, body) -> use.accept(body),
            (ex, error) -> {
              if (error instanceof Receiver.RequestToLargeException) {
                tooLarge(ex, maxBytes);
              } else {
                Replies.error(ex, ErrorKind.BAD_REQUEST, "body broke off: " + error.getMessage());
              }
            },
            StandardCharsets.UTF_8);
  }

  private static void tooLarge(HttpServerExchange exchange, long maxBytes) {
    exchange.setPersistent(false);
    Replies.error(exchange, ErrorKind.TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
  }
}
