package org.marjoramhoist.http;

import java.util.concurrent.CompletionException;

/**
 * Tells that a call yielded no reply, and whether the request may have been acted on.
 *
 * <p>Immutable.
 */
public final class HttpException extends Exception {

  private static final long serialVersionUID = 1L;

  /** How a call ended without a reply. */
  public enum Kind {
    /** The server's machine refused the connection. */
    REFUSED,
    /** The connection ended before the reply. */
    BROKEN,
    /** There was no reply in time. */
    TIMED_OUT,
    /** The call could not be made, or its reply could not be read. */
    INVALID
  }

  private final boolean sent;
  private final Kind kind;

  /**
   * Creates the failure.
   *
   * @param sent whether any part of the request may have reached the server
   * @param kind how the call ended
   * @param message what went wrong
   */
  public HttpException(boolean sent, Kind kind, String message) {
    super(message);
    this.sent = sent;
    this.kind = kind;
  }

  /**
   * Tells whether a request whose future failed may have reached the server, which is so unless the
   * failure says that nothing was sent.
   */
  public static boolean mayHaveArrived(Throwable error) {
    return !(unwrap(error) instanceof HttpException failure) || failure.isSent();
  }

  /** Returns how a call ended whose future failed. */
  public static Kind kindOf(Throwable error) {
    return unwrap(error) instanceof HttpException failure ? failure.kind : Kind.INVALID;
  }

  /** Returns what the failure of a call's future tells of its cause. */
  public static String reasonOf(Throwable error) {
    return String.valueOf(unwrap(error).getMessage());
  }

  private static Throwable unwrap(Throwable error) {
    boolean wrapped = error instanceof CompletionException && error.getCause() != null;
    return wrapped ? error.getCause() : error;
  }

  /** Tells whether any part of the request may have reached the server. */
  public boolean isSent() {
    return sent;
  }
}
