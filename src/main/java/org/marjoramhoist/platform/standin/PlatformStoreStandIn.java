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
import java.util.HashSet;
import java.util.List;
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
 * A stand-in of the platform's key-value store, with faults.
 *
 * <p>Safe for use by several threads.
 */
public final class PlatformStoreStandIn implements AutoCloseable {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int CONFLICT = 412;
  private static final int UNAVAILABLE = 503;
  private static final long EXPIRY_MILLIS = 50;

  private record Watcher(HttpServerExchange exchange, String prefix, long after, long until) {}

  private final StoreModel model = new StoreModel();
  private final List<Watcher> watchers = new ArrayList<>();
  private final ScheduledExecutorService timer = DaemonTimer.create("store-stand-in");
  private final LoopbackServer server;
  private final Set<String> revoked = new HashSet<>();
  private boolean down;
  private int repliesToLose;

  /**
   * Starts a store.
   *
   * @param address {@code host:port}; port 0 takes any free one
   */
  public PlatformStoreStandIn(String address) {
    server = new LoopbackServer(address, this::handle);
    timer.scheduleAtFixedRate(this::pass, EXPIRY_MILLIS, EXPIRY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the keys under a prefix. */
  public synchronized List<String> keys(String prefix) {
    return model.range(prefix).stream().map(Item::key).toList();
  }

  /** Returns {@code host:port} of the store. */
  public String address() {
    return server.address();
  }

  /** Makes the store answer every call with 503, or serve again. */
  public synchronized void setDown(boolean on) {
    down = on;
  }

  /** Makes the next changes take effect without an answer. */
  public synchronized void loseReplies(int count) {
    repliesToLose = count;
  }

  /** Makes the store forget its history. */
  public synchronized void compact() {
    model.compact();
    answerWatchers();
  }

  /** Deletes a key and lets nobody write it any more. */
  public synchronized void revoke(String key) {
    revoked.add(key);
    model.apply(List.of(), List.of(key));
    answerWatchers();
  }

  /** Sets a key, as the operator or a worker does. */
  public synchronized void put(String key, String value) {
    model.apply(List.of(new Put(key, value, 0)), List.of());
    answerWatchers();
  }

  /** Deletes a key, whoever wrote it. */
  public synchronized void delete(String key) {
    model.apply(List.of(), List.of(key));
    answerWatchers();
  }

  /** Returns how many leases were ever granted. */
  public synchronized long leasesGranted() {
    return model.leasesGranted();
  }

  private synchronized void pass() {
    model.expire(System.currentTimeMillis());
    answerWatchers();
  }

  private void handle(HttpServerExchange exchange) {
    Exchanges.receive(exchange, this::answer);
  }

  private synchronized void answer(HttpServerExchange exchange, byte[] body) {
    if (down) {
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
        long lease = model.grant(ttl, System.currentTimeMillis());
        Exchanges.reply(exchange, OK, "{\"lease\":" + lease + ",\"ttlMs\":" + ttl + "}");
      } else if (path.startsWith("/v1/kv-keep/")) {
        boolean held = model.keep(lastNumber(path), System.currentTimeMillis());
        Exchanges.reply(exchange, held ? OK : NOT_FOUND, "{}");
      } else if (path.startsWith("/v1/kv-lease-end/")) {
        model.end(lastNumber(path));
        answerWatchers();
        Exchanges.reply(exchange, OK, "{}");
      } else {
        Exchanges.reply(exchange, NOT_FOUND, "{}");
      }
    } catch (IOException e) {
      Exchanges.reply(exchange, 400, "{}");
    }
  }

  private static long lastNumber(String path) {
    return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
  }

  private static String query(HttpServerExchange exchange, String name) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null ? "" : values.getFirst();
  }

  private void range(HttpServerExchange exchange) {
    ObjectNode root = JsonText.MAPPER.createObjectNode();
    ArrayNode items = root.putArray("items");
    model.range(query(exchange, "prefix")).forEach(item -> items.add(itemNode(item)));
    root.put("hasMore", false).put("asOf", model.revision());
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
    long wait = Long.parseLong(query(exchange, "waitMs"));
    long after = Long.parseLong(query(exchange, "after"));
    watchers.add(
        new Watcher(exchange, query(exchange, "prefix"), after, System.currentTimeMillis() + wait));
    answerWatchers();
  }

  private void answerWatchers() {
    long now = System.currentTimeMillis();
    watchers.removeIf(watcher -> answered(watcher, now));
  }

  private boolean answered(Watcher watcher, long now) {
    List<Change> changes = model.changesAfter(watcher.prefix(), watcher.after());
    if (changes == null) {
      Exchanges.reply(watcher.exchange(), GONE, "{}");
      return true;
    }
    if (changes.isEmpty() && now < watcher.until()) {
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
        .forEach(c -> conditions.add(new Condition(c.path("key").asText(), longOf(c))));
    List<Put> puts = new ArrayList<>();
    body.path("puts").forEach(put -> puts.add(putOf(put)));
    List<String> deletes = new ArrayList<>();
    body.path("deletes").forEach(key -> deletes.add(key.asText()));
    List<Item> failed = model.conflicts(conditions);
    if (puts.stream().anyMatch(put -> revoked.contains(put.key()))) {
      Exchanges.reply(exchange, UNAVAILABLE, "{}");
    } else if (!failed.isEmpty()) {
      ObjectNode root = JsonText.MAPPER.createObjectNode();
      ArrayNode items = root.putArray("items");
      failed.forEach(item -> items.add(itemNode(item)));
      Exchanges.reply(exchange, CONFLICT, root.toString());
    } else if (!puts.stream().allMatch(put -> model.holds(put.lease()))) {
      Exchanges.reply(exchange, NOT_FOUND, "{}");
    } else {
      model.apply(puts, deletes);
      changed(exchange);
    }
  }

  private static long longOf(JsonNode condition) {
    return condition.path("revision").asLong();
  }

  private static Put putOf(JsonNode put) {
    byte[] value = Base64.getDecoder().decode(put.path("value").asText());
    String text = new String(value, StandardCharsets.UTF_8);
    return new Put(put.path("key").asText(), text, put.path("lease").asLong());
  }

  private void changed(HttpServerExchange exchange) {
    String body = "{\"revision\":" + model.revision() + "}";
    answerWatchers();
    if (repliesToLose > 0) {
      repliesToLose--;
      exchange.getIoThread().execute(() -> cut(exchange));
    } else {
      Exchanges.reply(exchange, OK, body);
    }
  }

  private static void cut(HttpServerExchange exchange) {
    IoUtils.safeClose(exchange.getConnection());
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
