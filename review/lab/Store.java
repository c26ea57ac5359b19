import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store, as PROTOCOL.md describes it; it answers at once and loses nothing.
 * Thread-safe.
 */
final class Store implements AutoCloseable {

  private static final int PAGE_ITEMS = 500;

  private record Item(String key, byte[] value, long revision, long created, long lease) {}

  private record Event(String key, Item item, long revision) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private final Map<String, Long> expiry = new HashMap<>();
  private final Map<String, String> translations = new HashMap<>();
  private long revision = 100;
  private long lastLease;
  private final HttpServer server;

  /** Share of the transactions that are done and not answered. */
  volatile double lostShare;

  /** Share of the transactions that are not answered and done 1 to 6 s later. */
  volatile double lateShare;

  /** How long each answer takes, in milliseconds. */
  volatile long delayMillis;

  /** Whether every call is answered with 503. */
  volatile boolean down;

  Store() throws IOException {
    server = HttpStandIn.start(0, this::handle);
    Thread timer = new Thread(this::expire);
    timer.setDaemon(true);
    timer.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /**
   * Translates an address in all values that are written from now on, as all processes share one
   * address and can be cut off only behind a proxy.
   */
  synchronized void translate(String address, String proxy) {
    translations.put(address, proxy);
  }

  private byte[] translated(byte[] value) {
    String text = new String(value, StandardCharsets.UTF_8);
    for (Map.Entry<String, String> each : translations.entrySet()) {
      text = text.replace("\"" + each.getKey() + "\"", "\"" + each.getValue() + "\"");
    }
    return translations.isEmpty() ? value : text.getBytes(StandardCharsets.UTF_8);
  }

  /** Writes as the operator does. */
  synchronized void put(String key, String value) {
    set(key, value.getBytes(StandardCharsets.UTF_8), 0, ++revision);
    notifyAll();
  }

  synchronized String get(String key) {
    Item item = items.get(key);
    return item == null ? null : new String(item.value(), StandardCharsets.UTF_8);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private void expire() {
    while (true) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        long now = now();
        for (Long lease : List.copyOf(leases.keySet())) {
          if (leases.get(lease)[0] < now) {
            endLease(lease);
          }
        }
        for (String key : List.copyOf(expiry.keySet())) {
          if (expiry.get(key) < now) {
            expiry.remove(key);
            delete(key, ++revision);
          }
        }
        notifyAll();
      }
    }
  }

  private void endLease(long lease) {
    leases.remove(lease);
    List<String> keys = new ArrayList<>();
    items.values().stream().filter(i -> i.lease() == lease).forEach(i -> keys.add(i.key()));
    if (!keys.isEmpty()) {
      long next = ++revision;
      keys.forEach(key -> delete(key, next));
    }
  }

  private void set(String key, byte[] value, long lease, long at) {
    Item old = items.get(key);
    Item item = new Item(key, value, at, old == null ? at : old.created(), lease);
    items.put(key, item);
    history.add(new Event(key, item, at));
  }

  private void delete(String key, long at) {
    if (items.remove(key) != null) {
      history.add(new Event(key, null, at));
    }
  }

  private static Map<String, Object> describe(Item item) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("key", item.key());
    out.put("value", Base64.getEncoder().encodeToString(item.value()));
    out.put("revision", item.revision());
    out.put("createRevision", item.created());
    out.put("lease", item.lease());
    return out;
  }

  private HttpStandIn.Reply handle(
      String method, String path, Map<String, String> query, String body, HttpStandIn.Call call)
      throws InterruptedException {
    boolean isWorker = path.equals("/worker");
    if (down && !isWorker) {
      return reply(503, Map.of());
    }
    if (delayMillis > 0 && !isWorker) {
      Thread.sleep(delayMillis);
    }
    if (path.equals("/v1/kv-txn")) {
      double luck = Math.random();
      if (luck < lateShare) {
        Thread.sleep(1_000 + (long) (5_000 * Math.random()));
      }
      if (luck < lateShare + lostShare) {
        synchronized (this) {
          txn(Json.object(body));
        }
        return new HttpStandIn.Reply(0, "");
      }
    }
    synchronized (this) {
      if (path.equals("/v1/kv-range")) {
        return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
      }
      if (path.equals("/v1/kv-key")) {
        Item item = items.get(query.get("key"));
        return item == null ? reply(404, Map.of()) : reply(200, describe(item));
      }
      if (path.equals("/v1/kv-watch")) {
        return watch(
            query.get("prefix"),
            Long.parseLong(query.get("after")),
            Long.parseLong(query.get("waitMs")));
      }
      if (path.equals("/v1/kv-txn")) {
        return txn(Json.object(body));
      }
      if (path.equals("/v1/kv-lease")) {
        long ttl = Json.number(Json.object(body), "ttlMs");
        leases.put(++lastLease, new long[] {now() + ttl, ttl});
        return reply(200, Map.of("lease", lastLease, "ttlMs", ttl));
      }
      if (path.startsWith("/v1/kv-keep/")) {
        long[] lease = leases.get(Long.parseLong(path.substring(12)));
        if (lease == null) {
          return reply(404, Map.of());
        }
        lease[0] = now() + lease[1];
        return reply(200, Map.of("ttlMs", lease[1]));
      }
      if (path.startsWith("/v1/kv-lease-end/")) {
        endLease(Long.parseLong(path.substring(17)));
        notifyAll();
        return reply(200, Map.of());
      }
      if (path.equals("/worker")) {
        // A worker's own entry; not a call of the system.
        String key = "servers/" + query.get("id");
        if (body.isEmpty()) {
          delete(key, ++revision);
          expiry.remove(key);
        } else {
          set(key, body.getBytes(StandardCharsets.UTF_8), 0, ++revision);
          expiry.put(key, now() + Long.parseLong(query.get("ttl")));
        }
        notifyAll();
        return reply(200, Map.of());
      }
      return reply(404, Map.of());
    }
  }

  private HttpStandIn.Reply range(String prefix, String after) {
    List<Object> found = new ArrayList<>();
    boolean more = false;
    for (Item item : items.tailMap(prefix).values()) {
      if (!item.key().startsWith(prefix)) {
        break;
      }
      if (!after.isEmpty() && item.key().compareTo(after) <= 0) {
        continue;
      }
      if (found.size() == PAGE_ITEMS) {
        more = true;
        break;
      }
      found.add(describe(item));
    }
    return reply(200, Map.of("items", found, "hasMore", more, "asOf", revision));
  }

  private HttpStandIn.Reply watch(String prefix, long after, long waitMs)
      throws InterruptedException {
    long until = now() + waitMs;
    while (true) {
      List<Object> events = new ArrayList<>();
      for (int i = history.size() - 1; i >= 0 && history.get(i).revision() > after; i--) {
        Event event = history.get(i);
        if (event.key().startsWith(prefix)) {
          events.add(
              0,
              event.item() != null
                  ? describe(event.item())
                  : Map.of("key", event.key(), "revision", event.revision(), "deleted", true));
        }
      }
      long left = until - now();
      if (!events.isEmpty() || left <= 0) {
        return reply(200, Map.of("events", events, "asOf", revision));
      }
      wait(left);
    }
  }

  @SuppressWarnings("unchecked")
  private HttpStandIn.Reply txn(Map<String, Object> body) {
    List<Object> conditions = Json.list(body, "expectedRev");
    List<Object> puts = Json.list(body, "puts");
    List<Object> deletes = Json.list(body, "deletes");
    if (conditions.size() + puts.size() + deletes.size() > 32) {
      return reply(400, Map.of());
    }
    List<Object> current = new ArrayList<>();
    boolean failed = false;
    for (Object each : conditions) {
      Map<String, Object> condition = (Map<String, Object>) each;
      String key = Json.text(condition, "key");
      Item item = items.get(key);
      failed |= Json.number(condition, "revision") != (item == null ? 0 : item.revision());
      current.add(
          item != null
              ? describe(item)
              : Map.of("key", key, "revision", 0, "deleted", true));
    }
    if (failed) {
      return reply(412, Map.of("items", current));
    }
    for (Object each : puts) {
      Map<String, Object> put = (Map<String, Object>) each;
      String key = Json.text(put, "key");
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return reply(403, Map.of());
      }
      long lease = Json.number(put, "lease");
      if (lease != 0 && !leases.containsKey(lease)) {
        return reply(404, Map.of());
      }
    }
    long next = ++revision;
    for (Object each : puts) {
      Map<String, Object> put = (Map<String, Object>) each;
      byte[] value = Base64.getDecoder().decode(Json.text(put, "value"));
      set(Json.text(put, "key"), translated(value), Json.number(put, "lease"), next);
    }
    deletes.forEach(key -> delete(key.toString(), next));
    notifyAll();
    return reply(200, Map.of("revision", next));
  }

  private static HttpStandIn.Reply reply(int status, Map<String, Object> body) {
    return new HttpStandIn.Reply(status, Json.write(body));
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
