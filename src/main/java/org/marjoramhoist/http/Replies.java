package org.marjoramhoist.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.model.ErrorKind;

/**
 * Writes replies of HTTP servers.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Replies {

  private static final String JSON = "application/json";

  private Replies() {}

  /** Replies with a JSON text at once; to be called on the exchange's I/O thread. */
  public static void json(HttpServerExchange exchange, int status, String body) {
    if (exchange.isResponseStarted()) {
      return;
    }
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
    exchange.getResponseSender().send(body);
  }

  /** Replies with an error of a kind. */
  public static void error(HttpServerExchange exchange, ErrorKind kind, String detail) {
    json(exchange, kind.httpStatus(), JsonText.of(errorBody(kind, detail)));
  }

  /** Returns the body that tells of an error. */
  public static Map<String, Object> errorBody(ErrorKind kind, String detail) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("error", kind.name());
    body.put("ran", kind.runState().name());
    body.put("detail", detail);
    body.put("remedy", kind.remedy());
    return body;
  }

  /**
   * Keeps an exchange open and runs a reply on its I/O thread once the future is complete.
   *
   * @param future what is waited for; must not fail
   * @param reply writes the reply
   */
  public static <T> void later(
      HttpServerExchange exchange,
      CompletableFuture<T> future,
      java.util.function.Consumer<T> reply) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            future.thenAccept(value -> exchange.getIoThread().execute(() -> reply.accept(value))));
  }
}
