package org.marjoramhoist.host;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.marjoramhoist.config.Settings;
import org.marjoramhoist.decision.ConfigView;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.http.Replies;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.RunState;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TaskResult;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.resource.TeamSpec;

/**
 * The HTTP interface for callers, as {@code docs/API.md} describes it.
 *
 * <p>Safe for use by several threads.
 */
final class CallerApi implements HttpHandler {

  private static final String JOBS = "/v1/jobs/";
  private static final String TICKETS = "/v1/tickets";
  private static final long MAX_WAIT_MILLIS = 600_000;
  private static final long TICKET_WAIT_MILLIS = 2_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final HttpString RETRY_AT = new HttpString("Retry-At-Millis");
  private static final String BEARER = "Bearer ";

  private final Settings settings;
  private final Requests requests;
  private final Consumer<Event> events;
  private final Supplier<ConfigView> config;
  private final Supplier<Boolean> ready;
  private final Metrics metrics;

  CallerApi(
      Settings settings,
      Requests requests,
      Consumer<Event> events,
      Supplier<ConfigView> config,
      Supplier<Boolean> ready,
      Metrics metrics) {
    this.settings = settings;
    this.requests = requests;
    this.events = events;
    this.config = config;
    this.ready = ready;
    this.metrics = metrics;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    if (path.startsWith(JOBS)) {
      job(exchange, path.substring(JOBS.length()));
    } else if (path.equals(TICKETS) && exchange.getRequestMethod().equals(Methods.POST)) {
      ticket(exchange);
    } else if (path.equals("/healthz")) {
      Replies.json(exchange, StatusCodes.OK, "{\"alive\":true}");
    } else if (path.equals("/readyz")) {
      boolean isReady = ready.get();
      int status = isReady ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
      Replies.json(exchange, status, "{\"ready\":" + isReady + "}");
    } else {
      Replies.error(exchange, ErrorKind.NOT_FOUND, "no such path: " + path);
    }
  }

  private void job(HttpServerExchange exchange, String name) {
    SubmissionId id;
    long wait;
    try {
      id = new SubmissionId(name);
      wait = waitMillis(exchange);
    } catch (IllegalArgumentException e) {
      Replies.error(exchange, ErrorKind.BAD_REQUEST, e.getMessage());
      return;
    }
    HttpString method = exchange.getRequestMethod();
    if (method.equals(Methods.PUT)) {
      put(exchange, id, wait);
    } else if (method.equals(Methods.GET)) {
      answer(exchange, id, requests.ask(n -> new Event.AnswerAsked(n, id), wait));
    } else if (method.equals(Methods.DELETE)) {
      cancel(exchange, id);
    } else {
      Replies.error(exchange, ErrorKind.BAD_REQUEST, "use PUT, GET or DELETE");
    }
  }

  private static long waitMillis(HttpServerExchange exchange) {
    String text = parameter(exchange, "wait", "0");
    try {
      long wait = Long.parseLong(text);
      if (wait < 0 || wait > MAX_WAIT_MILLIS) {
        throw new IllegalArgumentException("wait must be from 0 to " + MAX_WAIT_MILLIS + " ms");
      }
      return wait;
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("wait must be a number of milliseconds: " + text, e);
    }
  }

  static String parameter(HttpServerExchange exchange, String name, String fallback) {
    var values = exchange.getQueryParameters().get(name);
    return values == null || values.isEmpty() ? fallback : values.getFirst();
  }

  private void put(HttpServerExchange exchange, SubmissionId id, long wait) {
    Bodies.read(
        exchange,
        settings.limits().maxBodyBytes(),
        body -> {
          JobSpec job;
          try {
            job = JobParser.parse(id, body, settings.limits().maxTasksPerJob(), config.get());
          } catch (InvalidDocumentException e) {
            Replies.error(exchange, ErrorKind.BAD_REQUEST, e.getMessage());
            return;
          }
          if (refuseToken(exchange, job.team())) {
            return;
          }
          answer(exchange, id, requests.ask(n -> new Event.Submitted(n, job), wait));
        });
  }

  private void cancel(HttpServerExchange exchange, SubmissionId id) {
    String team = parameter(exchange, "team", "");
    try {
      TeamId teamId = new TeamId(team);
      if (!refuseToken(exchange, teamId)) {
        events.accept(new Event.CancelAsked(id, teamId));
        Replies.json(exchange, StatusCodes.ACCEPTED, "{\"state\":\"cancelling\"}");
      }
    } catch (IllegalArgumentException e) {
      Replies.error(exchange, ErrorKind.BAD_REQUEST, e.getMessage());
    }
  }

  /** Refuses a request whose token may not act for the team; returns whether it did. */
  private boolean refuseToken(HttpServerExchange exchange, TeamId team) {
    TeamSpec spec = config.get().teams().get(team);
    if (spec == null || spec.tokenHashes().isEmpty()) {
      return false;
    }
    String token = token(exchange);
    if (token.isEmpty()) {
      Replies.error(exchange, ErrorKind.UNAUTHENTICATED, "no bearer token was sent");
      return true;
    }
    if (!Digests.matches(token, spec.tokenHashes())) {
      Replies.error(exchange, ErrorKind.FORBIDDEN, "the token may not act for " + team);
      return true;
    }
    return false;
  }

  static String token(HttpServerExchange exchange) {
    String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    return header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
  }

  private void ticket(HttpServerExchange exchange) {
    CompletableFuture<Object> asked = requests.ask(Event.TicketAsked::new, TICKET_WAIT_MILLIS);
    Replies.later(
        exchange,
        asked,
        value -> {
          if (value instanceof SubmissionId id) {
            Replies.json(exchange, StatusCodes.CREATED, JsonText.of(Map.of("ticket", id)));
          } else {
            Replies.error(exchange, ErrorKind.OVERLOADED, "the host is overloaded");
          }
        });
  }

  private void answer(
      HttpServerExchange exchange, SubmissionId id, CompletableFuture<Object> asked) {
    Replies.later(
        exchange,
        asked,
        value -> {
          if (value instanceof JobAnswer answer) {
            reply(exchange, answer);
          } else if (value instanceof Requests.Busy) {
            String detail = "the host is overloaded; this request started nothing";
            reply(
                exchange,
                JobAnswer.failed(id, ErrorKind.OVERLOADED, detail).withRunState(RunState.UNKNOWN));
          } else {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("submission", id);
            body.put("state", "pending");
            Replies.json(exchange, StatusCodes.ACCEPTED, JsonText.of(body));
          }
        });
  }

  private void reply(HttpServerExchange exchange, JobAnswer answer) {
    if (answer.isComplete()) {
      Replies.json(exchange, StatusCodes.OK, JsonText.of(completeBody(answer)));
      return;
    }
    metrics.refusal(answer.error());
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("submission", answer.id());
    body.put("state", answer.runState() == RunState.NOT_RUN ? "refused" : "failed");
    body.putAll(Replies.errorBody(answer.error(), answer.detail()));
    body.put("ran", answer.runState().name());
    if (answer.retryAtMillis() > 0) {
      body.put("retryAtMillis", answer.retryAtMillis());
      long left = Math.max(0, answer.retryAtMillis() - System.currentTimeMillis());
      long seconds = (left + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
      exchange.getResponseHeaders().put(RETRY_AT, answer.retryAtMillis());
    }
    Replies.json(exchange, answer.error().httpStatus(), JsonText.of(body));
  }

  private static Map<String, Object> completeBody(JobAnswer answer) {
    List<Map<String, Object>> results = new ArrayList<>(answer.results().size());
    for (TaskResult result : answer.results()) {
      Map<String, Object> item = new LinkedHashMap<>();
      item.put("task", result.id());
      item.put("value", result.value());
      item.put("worker", result.worker());
      item.put("runMicros", result.runMicros());
      results.add(item);
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("submission", answer.id());
    body.put("state", "complete");
    body.put("results", results);
    return body;
  }
}
