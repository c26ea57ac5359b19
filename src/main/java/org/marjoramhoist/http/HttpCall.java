package org.marjoramhoist.http;

import java.util.Map;

/**
 * One request to a server.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param authority {@code host:port} of the server
 * @param method the method
 * @param path the path with the query
 * @param body the JSON body; empty for none
 * @param token the bearer token; empty for none
 * @param deadlineNanos when the call has failed, on the clock of {@link System#nanoTime}
 * @param fresh whether a new connection must be used
 * @param headers further headers
 */
public record HttpCall(
    String authority,
    String method,
    String path,
    String body,
    String token,
    long deadlineNanos,
    boolean fresh,
    Map<String, String> headers) {

  /** Creates a call without further headers. */
  public HttpCall(
      String authority,
      String method,
      String path,
      String body,
      String token,
      long deadlineNanos,
      boolean fresh) {
    this(authority, method, path, body, token, deadlineNanos, fresh, Map.of());
  }

  /** Returns a call on a pooled connection without a token. */
  public static HttpCall of(
      String authority, String method, String path, String body, long deadlineNanos) {
    return new HttpCall(authority, method, path, body, "", deadlineNanos, false);
  }
}
