package org.marjoramhoist.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.http.Exchanges;
import org.marjoramhoist.http.LoopbackServer;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Condition;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.KeyValueClient.Put;
import org.marjoramhoist.supervise.DaemonTimer;
import org.xnio.IoUtils;

/**
 * A stand-in for the platform's key-value store, with fault injection.
 *
 * <p>Safe for use by several threads.
 */
public final class PlatformStoreStandIn implements AutoCloseable {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;
  private static final int UNAVAILABLE = 503;
  private static final long EXPIRY_INTERVAL_MILLIS = 50;

  /** The platform's limits of a transaction. */
  private static final int MAX_KEY_BYTES = 200;

  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final int MAX_ENTRIES = 32;

  /** The platform's limits of a page. */
  private static final int MAX_PAGE_ITEMS = 500;

  private static final int MAX_PAGE_BYTES = 1 << 20;

  private record Watcher(
      HttpServerExchange exchange, String prefix, long afterRevision, long deadlineMillis) {}

  private final StoreModel model = new StoreModel();
  private final List<Watcher> watchers = new ArrayList<>();
  private final ScheduledExecutorService timer = DaemonTimer.create("store-stand-in");
  private final LoopbackServer server;
  private final Set<String> blockedKeys = new HashSet<>();
  private final Map<String, String> routes = new HashMap<>();
  private boolean isDown;
  private int repliesToLose;
  private String refusedText = "";
  private int refusalStatus;

  /**
   * Starts a store.
   *
   * @param address {@code host:port} to listen on; port 0 selects a free port
   */
  public PlatformStoreStandIn(String address) {
    server = new LoopbackServer(address, this::handle);
    timer.scheduleAtFixedRate(
        this::expireLeases, EXPIRY_INTERVAL_MILLIS, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the keys under a prefix. */
  public synchronized List<String> keys(String prefix) {
    return model.range(prefix).stream().map(Item::key).toList();
  }

  /** Returns {@code host:port} of the store. */
  public String address() {
    return server.address();
  }

  /** Makes the store answer every call with status 503, or serve calls again. */
  public synchronized void setDown(boolean down) {
    isDown = down;
  }

  /**
   * Makes the store refuse transactions that set a value with a text.
   *
   * @param text the text; empty to refuse none
   * @param status the status of the response
   */
  public synchronized void refuseValuesThatContain(String text, int status) {
    refusedText = text;
    refusalStatus = status;
  }

  /** Makes the next transactions take effect without a reply. */
  public synchronized void loseReplies(int count) {
    repliesToLose = count;
  }

  /** Discards the history of changes. */
  public synchronized void compact() {
    model.compact();
    replyToWatchers();
  }

  /** Deletes a key and refuses all later transactions that set it. */
  public synchronized void deleteAndBlockWrites(String key) {
    blockedKeys.add(key);
    model.apply(List.of(), List.of(key));
    replyToWatchers();
  }

  /**
   * Stores another address wherever a host or a worker writes a given one, so that others reach it
   * there.
   *
   * @param address {@code host:port} as written
   * @param route {@code host:port} as stored
   */
  public synchronized void setRoute(String address, String route) {
    routes.put(quote(address), quote(route));
  }

  private static String quote(String text) {
    return '"' + text + '"';
  }

  /** Sets a key unconditionally, as the operator or a worker does. */
  public synchronized void put(String key, String value) {
    model.apply(List.of(new Put(key, value, 0)), List.of());
    replyToWatchers();
  }

  /** Deletes a key unconditionally. */
  public synchronized void delete(String key) {
    model.apply(List.of(), List.of(key));
    replyToWatchers();
  }

  /** Returns the number of leases granted so far. */
  public synchronized long leasesGranted() {
    return model.leasesGranted();
  }

  private synchronized void expireLeases() {
    model.expireLeases(System.currentTimeMillis());
    replyToWatchers();
  }

  private void handle(HttpServerExchange exchange) {
    Exchanges.receive(exchange, this::dispatch);
  }

  private synchronized void dispatch(HttpServerExchange exchange, byte[] body) {
    if (isDown) {
      Exchanges.reply(exchange, UNAVAILABLE, "{}");
      return;
    }
    String path = exchange.getRequestPath();
    try {
      if (path.equals("/v1/kv-range")) {
        range(exchange);
      } else if (path.equals("/v1/kv-watch")) {
        watch(exchange);
      } else if (path.equals("/v1/kv-txn")) {
        txn(exchange, JsonText.MAPPER.readTree(body));
      } else if (path.equals("/v1/kv-lease")) {
        long ttl = JsonText.MAPPER.readTree(body).path("ttlMs").asLong();
        long lease = model.grantLease(ttl, System.currentTimeMillis());
        Exchanges.reply(exchange, OK, "{\"lease\":" + lease + ",\"ttlMs\":" + ttl + "}");
      } else if (path.startsWith("/v1/kv-keep/")) {
        boolean exists = model.renewLease(parseLeaseId(path), System.currentTimeMillis());
        Exchanges.reply(exchange, exists ? OK : NOT_FOUND, "{}");
      } else if (path.startsWith("/v1/kv-lease-end/")) {
        model.endLease(parseLeaseId(path));
        replyToWatchers();
        Exchanges.reply(exchange, OK, "{}");
      } else {
        Exchanges.reply(exchange, NOT_FOUND, "{}");
      }
    } catch (IOException e) {
      Exchanges.reply(exchange, 400, "{}");
    }
  }

  private static long parseLeaseId(String path) {
    return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
  }

  private static String queryParameter(HttpServerExchange exchange, String name) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null ? "" : values.getFirst();
  }

  private void range(HttpServerExchange exchange) {
    ObjectNode root = JsonText.MAPPER.createObjectNode();
    ArrayNode items = root.putArray("items");
    String after = queryParameter(exchange, "after");
    int bytes = 0;
    boolean hasMore = false;
    for (Item item : model.range(queryParameter(exchange, "prefix"))) {
      hasMore = items.size() >= MAX_PAGE_ITEMS || bytes >= MAX_PAGE_BYTES;
      if (hasMore) {
        break;
      }
      if (item.key().compareTo(after) > 0) {
        items.add(itemNode(item));
        bytes += item.value().length();
      }
    }
    root.put("hasMore", hasMore).put("asOf", model.revision());
    Exchanges.reply(exchange, OK, root.toString());
  }

  private static ObjectNode itemNode(Item item) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    node.put("key", item.key()).put("revision", item.revision());
    if (item.value() == null) {
      node.put("deleted", true);
    } else {
      byte[] value = item.value().getBytes(StandardCharsets.UTF_8);
      node.put("value", Base64.getEncoder().encodeToString(value));
    }
    return node;
  }

  private void watch(HttpServerExchange exchange) {
    long wait = Long.parseLong(queryParameter(exchange, "waitMs"));
    long after = Long.parseLong(queryParameter(exchange, "after"));
    watchers.add(
        new Watcher(
            exchange,
            queryParameter(exchange, "prefix"),
            after,
            System.currentTimeMillis() + wait));
    replyToWatchers();
  }

  private void replyToWatchers() {
    long now = System.currentTimeMillis();
    watchers.removeIf(watcher -> replyIfDue(watcher, now));
  }

  private boolean replyIfDue(Watcher watcher, long now) {
    List<Change> changes = model.changesAfter(watcher.prefix(), watcher.afterRevision());
    if (changes == null) {
      Exchanges.reply(watcher.exchange(), GONE, "{}");
      return true;
    }
    if (changes.isEmpty() && now < watcher.deadlineMillis()) {
      return false;
    }
    ObjectNode root = JsonText.MAPPER.createObjectNode();
    ArrayNode events = root.putArray("events");
    changes.forEach(change -> events.add(itemNode(change.item())));
    root.put("asOf", model.revision());
    Exchanges.reply(watcher.exchange(), OK, root.toString());
    return true;
  }

  private void txn(HttpServerExchange exchange, JsonNode body) {
    List<Condition> conditions = new ArrayList<>();
    body.path("expectedRev")
        .forEach(c -> conditions.add(new Condition(c.path("key").asText(), revisionOf(c))));
    List<Put> puts = new ArrayList<>();
    body.path("puts").forEach(put -> puts.add(applyRoutes(parsePut(put))));
    List<String> deletes = new ArrayList<>();
    body.path("deletes").forEach(key -> deletes.add(key.asText()));
    List<Item> failed = model.conflicts(conditions);
    boolean isTooLarge = conditions.size() + puts.size() + deletes.size() > MAX_ENTRIES;
    if (isTooLarge || !puts.stream().allMatch(PlatformStoreStandIn::isWithinLimits)) {
      Exchanges.reply(exchange, BAD_REQUEST, "{}");
    } else if (puts.stream().anyMatch(this::isRefused)) {
      Exchanges.reply(exchange, refusalStatus, "{}");
    } else if (puts.stream().anyMatch(put -> blockedKeys.contains(put.key()))) {
      Exchanges.reply(exchange, UNAVAILABLE, "{}");
    } else if (!failed.isEmpty()) {
      ObjectNode root = JsonText.MAPPER.createObjectNode();
      ArrayNode items = root.putArray("items");
      failed.forEach(item -> items.add(itemNode(item)));
      Exchanges.reply(exchange, PRECONDITION_FAILED, root.toString());
    } else if (!puts.stream().allMatch(put -> model.hasLease(put.lease()))) {
      Exchanges.reply(exchange, NOT_FOUND, "{}");
    } else {
      model.apply(puts, deletes);
      replyCommitted(exchange);
    }
  }

  private boolean isRefused(Put put) {
    return !refusedText.isEmpty() && put.value().contains(refusedText);
  }

  private static boolean isWithinLimits(Put put) {
    return put.key().getBytes(StandardCharsets.UTF_8).length <= MAX_KEY_BYTES
        && put.value().getBytes(StandardCharsets.UTF_8).length <= MAX_VALUE_BYTES;
  }

  private static long revisionOf(JsonNode condition) {
    return condition.path("revision").asLong();
  }

  private static Put parsePut(JsonNode put) {
    byte[] value = Base64.getDecoder().decode(put.path("value").asText());
    String text = new String(value, StandardCharsets.UTF_8);
    return new Put(put.path("key").asText(), text, put.path("lease").asLong());
  }

  private Put applyRoutes(Put put) {
    String value = put.value();
    for (Map.Entry<String, String> route : routes.entrySet()) {
      value = value.replace(route.getKey(), route.getValue());
    }
    return new Put(put.key(), value, put.lease());
  }

  private void replyCommitted(HttpServerExchange exchange) {
    String body = "{\"revision\":" + model.revision() + "}";
    replyToWatchers();
    if (repliesToLose > 0) {
      repliesToLose--;
      exchange.getIoThread().execute(() -> closeConnection(exchange));
    } else {
      Exchanges.reply(exchange, OK, body);
    }
  }

  private static void closeConnection(HttpServerExchange exchange) {
    IoUtils.safeClose(exchange.getConnection());
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
