package org.marjoramhoist.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.json.JsonText;

/**
 * Calls a host's HTTP interfaces and waits for the replies.
 *
 * <p>Confined to one thread.
 */
public final class HostClient implements AutoCloseable {

  private static final int FIRST_ERROR = 400;
  private static final int CONFLICT = 409;
  private static final int BAD_REQUEST = 400;
  private static final int UNPROCESSABLE = 422;

  private final String authority;
  private final String token;
  private final HttpCaller caller = new HttpCaller("client", 1);

  /**
   * Creates a client.
   *
   * @param authority {@code host:port} of a listener
   * @param token the bearer token; empty for none
   */
  public HostClient(String authority, String token) {
    this.authority = authority;
    this.token = token;
  }

  /**
   * Sends a request.
   *
   * @param timeoutMillis how long to wait for the reply
   * @throws CommandFailure if there is no reply
   */
  HttpReply call(String method, String path, String body, long timeoutMillis)
      throws CommandFailure, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    try {
      return caller.call(new HttpCall(authority, method, path, body, token, deadline, false)).get();
    } catch (ExecutionException e) {
      throw new CommandFailure(
          ExitCode.UNREACHABLE, "no reply from " + authority + ": " + e.getCause().getMessage());
    }
  }

  /**
   * Sends a request and reads the reply, which must not be an error.
   *
   * @throws CommandFailure if there is no reply, or an error
   */
  JsonNode json(String method, String path, String body, long timeoutMillis)
      throws CommandFailure, InterruptedException {
    HttpReply reply = call(method, path, body, timeoutMillis);
    if (reply.status() >= FIRST_ERROR) {
      throw failure(reply);
    }
    return parse(reply);
  }

  /** Reads the body of a reply. */
  static JsonNode parse(HttpReply reply) throws CommandFailure {
    try {
      return JsonText.MAPPER.readTree(reply.body());
    } catch (JsonProcessingException e) {
      throw new CommandFailure(ExitCode.FAILED, "not a JSON reply, status " + reply.status());
    }
  }

  private static CommandFailure failure(HttpReply reply) throws CommandFailure {
    JsonNode body = parse(reply);
    String text = body.path("error").asText() + ": " + body.path("detail").asText();
    if (body.hasNonNull("remedy")) {
      text += "\nremedy: " + body.path("remedy").asText();
    }
    return new CommandFailure(codeOf(reply.status()), text);
  }

  private static ExitCode codeOf(int status) {
    return switch (status) {
      case CONFLICT -> ExitCode.CONFLICT;
      case BAD_REQUEST, UNPROCESSABLE -> ExitCode.BAD_INPUT;
      default -> ExitCode.FAILED;
    };
  }

  @Override
  public void close() {
    caller.close();
  }
}
