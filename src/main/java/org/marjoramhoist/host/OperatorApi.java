package org.marjoramhoist.host;

import com.fasterxml.jackson.databind.util.RawValue;
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
import org.marjoramhoist.account.Column;
import org.marjoramhoist.account.Report;
import org.marjoramhoist.config.Settings;
import org.marjoramhoist.decision.ConfigView;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.decision.HostStatus;
import org.marjoramhoist.http.Replies;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.platform.Store;
import org.marjoramhoist.platform.StoreKeys;
import org.marjoramhoist.resource.Declarations;
import org.marjoramhoist.resource.ResourceDoc;
import org.marjoramhoist.resource.ResourceKey;

/**
 * The HTTP interface for operators, as {@code docs/API.md} describes it.
 *
 * <p>Safe for use by several threads.
 */
final class OperatorApi implements HttpHandler {

  private static final String RESOURCES = "/v1/resources";
  private static final long STATUS_WAIT_MILLIS = 2_000;
  private static final long MAX_WATCH_MILLIS = 60_000;
  private static final long MICROS_PER_MILLI = 1_000;

  private final Settings settings;
  private final Requests requests;
  private final Consumer<Event> events;
  private final ConfigService configService;
  private final Conditions conditions = new Conditions();
  private final ConfigFeed feed;
  private final Store store;
  private final Metrics metrics;

  OperatorApi(
      Settings settings,
      Requests requests,
      Consumer<Event> events,
      ConfigFeed feed,
      Store store,
      Metrics metrics) {
    this.settings = settings;
    this.requests = requests;
    this.events = events;
    this.configService = new ConfigService(store);
    this.feed = feed;
    this.store = store;
    this.metrics = metrics;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (refuseToken(exchange)) {
      return;
    }
    String path = exchange.getRequestPath();
    HttpString method = exchange.getRequestMethod();
    if (path.equals("/metrics")) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
      exchange.getResponseSender().send(metrics.scrape());
    } else if (path.startsWith(RESOURCES)) {
      resources(exchange, method, path.substring(RESOURCES.length()));
    } else if (path.equals("/v1/apply") && method.equals(Methods.POST)) {
      apply(exchange);
    } else if (path.equals("/v1/watch")) {
      watch(exchange);
    } else if (path.equals("/v1/status")) {
      status(exchange);
    } else if (path.equals("/v1/report")) {
      report(exchange);
    } else if (path.equals("/v1/drain") && method.equals(Methods.POST)) {
      events.accept(new Event.DrainAsked());
      Replies.json(exchange, StatusCodes.ACCEPTED, "{\"state\":\"draining\"}");
    } else {
      Replies.error(exchange, ErrorKind.NOT_FOUND, "no such path: " + path);
    }
  }

  private boolean refuseToken(HttpServerExchange exchange) {
    List<String> digests = settings.operatorTokenHashes();
    if (digests.isEmpty()) {
      return false;
    }
    String token = CallerApi.token(exchange);
    if (token.isEmpty()) {
      Replies.error(exchange, ErrorKind.UNAUTHENTICATED, "no bearer token was sent");
      return true;
    }
    if (!Digests.matches(token, digests)) {
      Replies.error(exchange, ErrorKind.FORBIDDEN, "the token is not an operator's");
      return true;
    }
    return false;
  }

  private void resources(HttpServerExchange exchange, HttpString method, String rest) {
    String name = rest.startsWith("/") ? rest.substring(1) : rest;
    if (method.equals(Methods.GET)) {
      list(exchange, name);
    } else if (method.equals(Methods.DELETE)) {
      delete(exchange, name);
    } else {
      Replies.error(exchange, ErrorKind.BAD_REQUEST, "use GET or DELETE, or POST /v1/apply");
    }
  }

  /** Shows what is in force at this host, so that it works in a store outage too. */
  private void list(HttpServerExchange exchange, String name) {
    Replies.later(
        exchange,
        requests.ask(Event.StatusAsked::new, STATUS_WAIT_MILLIS),
        value -> {
          if (value instanceof HostStatus status) {
            list(exchange, name, status);
          } else {
            Replies.error(exchange, ErrorKind.OVERLOADED, "the host is overloaded");
          }
        });
  }

  private void list(HttpServerExchange exchange, String name, HostStatus status) {
    ConfigView view = feed.view();
    List<Map<String, Object>> items = new ArrayList<>();
    for (ResourceDoc doc : view.docs()) {
      if (matches(doc.key(), name)) {
        items.add(item(doc, view, status));
      }
    }
    if (items.isEmpty() && name.contains("/")) {
      Replies.error(exchange, ErrorKind.NOT_FOUND, name + " is not declared");
      return;
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("revision", view.revision());
    body.put("items", items);
    Replies.json(exchange, StatusCodes.OK, JsonText.of(body));
  }

  private static boolean matches(String key, String name) {
    return name.isEmpty() || key.equals(name) || key.startsWith(name + "/");
  }

  private Map<String, Object> item(ResourceDoc doc, ConfigView view, HostStatus status) {
    ResourceKey key = ResourceKey.parse(doc.key());
    Map<String, Object> item = new LinkedHashMap<>();
    item.put("kind", key.kind().label());
    item.put("name", key.name());
    item.put("version", doc.version());
    item.put("spec", new RawValue(doc.json()));
    Map<String, Object> observed = new LinkedHashMap<>();
    observed.put("observedRevision", view.revision());
    observed.put("conditions", conditions.of(doc, view, status, System.currentTimeMillis()));
    item.put("status", observed);
    return item;
  }

  private void delete(HttpServerExchange exchange, String name) {
    try {
      ResourceKey key = ResourceKey.parse(name);
      long version = Long.parseLong(CallerApi.parameter(exchange, "version", "-1"));
      Replies.later(exchange, configService.delete(key, version), r -> reply(exchange, r));
    } catch (IllegalArgumentException e) {
      Replies.error(exchange, ErrorKind.BAD_REQUEST, e.getMessage());
    }
  }

  private void apply(HttpServerExchange exchange) {
    boolean dryRun = Boolean.parseBoolean(CallerApi.parameter(exchange, "dryRun", "false"));
    boolean prune = Boolean.parseBoolean(CallerApi.parameter(exchange, "prune", "false"));
    String source = CallerApi.parameter(exchange, "source", "body");
    Bodies.read(
        exchange,
        settings.limits().maxBodyBytes(),
        body -> {
          try {
            List<Declarations.Declared> declared = Declarations.parse(source, body);
            Replies.later(
                exchange, configService.apply(declared, dryRun, prune), r -> reply(exchange, r));
          } catch (InvalidDocumentException e) {
            Replies.error(exchange, ErrorKind.INVALID_DECLARATION, e.getMessage());
          }
        });
  }

  private static void reply(HttpServerExchange exchange, ConfigService.ApplyResult result) {
    if (result.error() != null) {
      Replies.error(exchange, result.error(), result.detail());
      return;
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("revision", result.revision());
    body.put("changes", result.changes());
    Replies.json(exchange, StatusCodes.OK, JsonText.of(body));
  }

  private void watch(HttpServerExchange exchange) {
    try {
      long since = Long.parseLong(CallerApi.parameter(exchange, "since", "0"));
      long wait = Long.parseLong(CallerApi.parameter(exchange, "wait", "30000"));
      CompletableFuture<ConfigView> later =
          feed.after(since, Math.max(0, Math.min(MAX_WATCH_MILLIS, wait)));
      Replies.later(
          exchange, later, view -> list(exchange, CallerApi.parameter(exchange, "kind", "")));
    } catch (NumberFormatException e) {
      Replies.error(exchange, ErrorKind.BAD_REQUEST, "since and wait must be numbers");
    }
  }

  private void status(HttpServerExchange exchange) {
    Replies.later(
        exchange,
        requests.ask(Event.StatusAsked::new, STATUS_WAIT_MILLIS),
        value -> {
          if (value instanceof HostStatus status) {
            Replies.json(exchange, StatusCodes.OK, JsonText.of(status));
          } else {
            Replies.error(exchange, ErrorKind.OVERLOADED, "the host is overloaded");
          }
        });
  }

  private void report(HttpServerExchange exchange) {
    List<Column> columns = new ArrayList<>();
    long from;
    long to;
    try {
      for (String name : CallerApi.parameter(exchange, "by", "team,class").split(",")) {
        columns.add(Column.of(name.trim()));
      }
      from = Long.parseLong(CallerApi.parameter(exchange, "from", "0")) * MICROS_PER_MILLI;
      String end = CallerApi.parameter(exchange, "to", "");
      to = end.isEmpty() ? Long.MAX_VALUE : Long.parseLong(end) * MICROS_PER_MILLI;
    } catch (IllegalArgumentException e) {
      Replies.error(exchange, ErrorKind.BAD_REQUEST, e.getMessage());
      return;
    }
    CompletableFuture<Object> made =
        requests
            .ask(Event.StatusAsked::new, STATUS_WAIT_MILLIS)
            .thenCompose(
                status ->
                    store
                        .range(StoreKeys.ACCOUNTS, Store.prefixRangeEnd(StoreKeys.ACCOUNTS))
                        .<Object>thenApply(
                            r -> Report.of(r.entries(), from, to, columns, alive(status))))
            .exceptionally(error -> error);
    Replies.later(
        exchange,
        made,
        value -> {
          if (value instanceof Report report) {
            Replies.json(exchange, StatusCodes.OK, JsonText.of(report));
          } else {
            Replies.error(exchange, ErrorKind.STORE_UNAVAILABLE, String.valueOf(value));
          }
        });
  }

  private static List<String> alive(Object status) {
    List<String> alive = new ArrayList<>();
    if (status instanceof HostStatus known) {
      alive.add(known.host());
      known.hosts().stream()
          .filter(host -> !host.state().equals("DEAD"))
          .forEach(host -> alive.add(host.host()));
    }
    return alive;
  }
}
