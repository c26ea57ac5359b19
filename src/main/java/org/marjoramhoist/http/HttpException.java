package org.marjoramhoist.http;

import java.util.concurrent.CompletionException;

/**
 * Tells that a call yielded no reply, and whether the request may have been acted on.
 *
 * <p>Immutable.
 */
public final class HttpException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates the failure.
   *
   * @param sent whether any part of the request may have reached the server
   * @param message what went wrong
   */
  public HttpException(boolean sent, String message) {
    super(message);
    this.sent = sent;
  }

  /**
   * Tells whether a request whose future failed may have reached the server, which is so unless the
   * failure says that nothing was sent.
   */
  public static boolean mayHaveArrived(Throwable error) {
    boolean wrapped = error instanceof CompletionException && error.getCause() != null;
    Throwable cause = wrapped ? error.getCause() : error;
    return !(cause instanceof HttpException failure) || failure.isSent();
  }

  /** Tells whether any part of the request may have reached the server. */
  public boolean isSent() {
    return sent;
  }
}
