import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"), with a port for
 * each host, so that it can turn single hosts away.
 */
final class Store {

  private record Item(String key, String value, long revision, long created, long lease) {}

  private record Change(long revision, String key, Item item, long at) {}

  private static final int PAGE_ITEMS = 500;
  private static final long HISTORY_NANOS = 20_000_000_000L;

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private long revision = 10;
  private long compactedTo = 10;
  private long nextLease = 100;
  private final Random random = new Random(5);

  /** How the store treats calls: ok, silent, busy, reset, slow. */
  volatile String mode = "ok";
  /** The same for single hosts. */
  final Map<String, String> hostMode = new java.util.concurrent.ConcurrentHashMap<>();
  /** Share of the changes that are made and not answered. */
  volatile double loseReplies;
  /** Share of the changes that are made late and not answered. */
  volatile double late;
  volatile long slowMillis;

  Store() {
    Net.thread("leases", () -> {
      while (true) {
        Net.sleep(20);
        expire();
      }
    });
  }

  private final Map<Long, String> leaders = new java.util.concurrent.ConcurrentHashMap<>();

  /** Returns the host that leads under a fencing token, which is the revision of its record. */
  String leader(long token) {
    return leaders.getOrDefault(token, "");
  }

  Net.Server listen(String host) throws java.io.IOException {
    return new Net.Server(0, request -> handle(host, request));
  }

  private synchronized void expire() {
    long now = System.nanoTime();
    if (mode.equals("silent") || mode.equals("busy") || mode.equals("reset")) {
      for (long[] lease : leases.values()) {
        lease[0] += 20_000_000L;
      }
      return;
    }
    for (Long id : List.copyOf(leases.keySet())) {
      if (leases.get(id)[0] < now) {
        endLease(id);
      }
    }
    while (history.size() > 1 && now - history.get(0).at() > HISTORY_NANOS) {
      compactedTo = history.remove(0).revision();
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> keys = items.values().stream().filter(i -> i.lease() == id).map(Item::key).toList();
    if (!keys.isEmpty()) {
      apply(List.of(), keys);
    }
  }

  private record Put(String key, String value, long lease) {}

  private void apply(List<Put> puts, List<String> deletes) {
    revision++;
    long now = System.nanoTime();
    for (Put put : puts) {
      Item old = items.get(put.key());
      Item item = new Item(put.key(), put.value(), revision, old == null ? revision : old.created(), put.lease());
      items.put(put.key(), item);
      history.add(new Change(revision, put.key(), item, now));
      if (put.key().equals("marjoramhoist/leader/0")) {
        String value = new String(Base64.getDecoder().decode(put.value()), StandardCharsets.UTF_8);
        leaders.put(revision, (String) Net.object(value).get("host"));
      }
    }
    for (String key : deletes) {
      if (items.remove(key) != null) {
        history.add(new Change(revision, key, null, now));
      }
    }
    notifyAll();
  }

  /** Writes as the operator or a worker does; false while the store is not there. */
  synchronized boolean put(String key, String text) {
    if (!mode.equals("ok") && !mode.equals("slow")) {
      return false;
    }
    apply(List.of(new Put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0)), List.of());
    return true;
  }

  synchronized void delete(String key) {
    if (items.containsKey(key)) {
      apply(List.of(), List.of(key));
    }
  }

  synchronized String text(String key) {
    Item item = items.get(key);
    return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
  }

  synchronized List<String> keys(String prefix) {
    return items.tailMap(prefix).keySet().stream().takeWhile(k -> k.startsWith(prefix)).toList();
  }

  private Net.Resp handle(String host, Net.Req request) throws Exception {
    String how = mode.equals("ok") ? hostMode.getOrDefault(host, "ok") : mode;
    switch (how) {
      case "silent":
        return Net.HANG;
      case "busy":
        return new Net.Resp(503, "{}");
      case "many":
        return new Net.Resp(429, "{}");
      case "reset":
        return Net.RESET;
      case "slow":
        Net.sleep(slowMillis);
        break;
      default:
    }
    boolean changes = !request.method().equals("GET") && !request.path().startsWith("/v1/kv-keep");
    if (changes && random.nextDouble() < late) {
      Net.sleep(1000 + random.nextInt(3000));
      execute(request);
      return Net.CLOSE;
    }
    Net.Resp response = execute(request);
    return changes && random.nextDouble() < loseReplies ? Net.HANG : response;
  }

  private Net.Resp execute(Net.Req request) throws Exception {
    String path = request.path();
    if (path.equals("/v1/kv-watch")) {
      return watch(request);
    }
    synchronized (this) {
      if (path.equals("/v1/kv-range")) {
        return range(request.query().get("prefix"), request.query().getOrDefault("after", ""));
      }
      if (path.equals("/v1/kv-key")) {
        Item item = items.get(request.query().get("key"));
        return item == null ? new Net.Resp(404, "{}") : new Net.Resp(200, json(item, null));
      }
      if (path.equals("/v1/kv-txn")) {
        return txn(Net.object(request.body()));
      }
      if (path.equals("/v1/kv-lease")) {
        long ttl = Math.max(1000, Net.number(Net.object(request.body()), "ttlMs"));
        long id = nextLease++;
        leases.put(id, new long[] {System.nanoTime() + ttl * 1_000_000, ttl});
        return new Net.Resp(200, "{\"lease\":" + id + ",\"ttlMs\":" + ttl + "}");
      }
      long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
      if (path.startsWith("/v1/kv-keep/")) {
        long[] lease = leases.get(id);
        if (lease == null) {
          return new Net.Resp(404, "{}");
        }
        lease[0] = System.nanoTime() + lease[1] * 1_000_000;
        return new Net.Resp(200, "{\"ttlMs\":" + lease[1] + "}");
      }
      if (path.startsWith("/v1/kv-lease-end/")) {
        endLease(id);
        return new Net.Resp(200, "{}");
      }
    }
    return new Net.Resp(404, "{}");
  }

  private static String json(Item item, String deletedKey) {
    if (item == null) {
      return "{\"key\":" + Net.quote(deletedKey) + ",\"revision\":0}";
    }
    return "{\"key\":" + Net.quote(item.key()) + ",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
        + ",\"createRevision\":" + item.created() + ",\"lease\":" + item.lease() + "}";
  }

  private Net.Resp range(String prefix, String after) {
    StringBuilder out = new StringBuilder();
    int count = 0;
    int size = 0;
    boolean more = false;
    String from = after.isEmpty() || after.compareTo(prefix) < 0 ? prefix : after + "\0";
    for (Item item : items.tailMap(from).values()) {
      if (!item.key().startsWith(prefix)) {
        break;
      }
      if (count == PAGE_ITEMS || size > 1_000_000) {
        more = true;
        break;
      }
      out.append(count++ == 0 ? "" : ",").append(json(item, null));
      size += item.value().length();
    }
    return new Net.Resp(200, "{\"items\":[" + out + "],\"hasMore\":" + more + ",\"asOf\":" + revision + "}");
  }

  private synchronized Net.Resp watch(Net.Req request) throws InterruptedException {
    String prefix = request.query().get("prefix");
    long after = Long.parseLong(request.query().get("after"));
    long until = System.nanoTime() + Long.parseLong(request.query().get("waitMs")) * 1_000_000;
    while (true) {
      if (after < compactedTo) {
        return new Net.Resp(410, "{}");
      }
      StringBuilder events = new StringBuilder();
      for (Change each : history) {
        if (each.revision() > after && each.key().startsWith(prefix)) {
          events.append(events.length() == 0 ? "" : ",");
          events.append(each.item() != null
              ? json(each.item(), null)
              : "{\"key\":" + Net.quote(each.key()) + ",\"revision\":" + each.revision() + ",\"deleted\":true}");
        }
      }
      long left = (until - System.nanoTime()) / 1_000_000;
      if (events.length() > 0 || left <= 0) {
        return new Net.Resp(200, "{\"events\":[" + events + "],\"asOf\":" + revision + "}");
      }
      wait(left);
    }
  }

  @SuppressWarnings("unchecked")
  private Net.Resp txn(Map<String, Object> call) {
    List<Object> expected = (List<Object>) call.getOrDefault("expectedRev", List.of());
    List<Object> puts = (List<Object>) call.getOrDefault("puts", List.of());
    List<Object> deletes = (List<Object>) call.getOrDefault("deletes", List.of());
    if (expected.size() + puts.size() + deletes.size() > 32) {
      return new Net.Resp(400, "{}");
    }
    boolean holds = true;
    StringBuilder current = new StringBuilder();
    for (Object each : expected) {
      Map<String, Object> row = (Map<String, Object>) each;
      String key = (String) row.get("key");
      Item item = items.get(key);
      holds &= (item == null ? 0 : item.revision()) == Net.number(row, "revision");
      current.append(current.length() == 0 ? "" : ",").append(json(item, key));
    }
    if (!holds) {
      return new Net.Resp(412, "{\"items\":[" + current + "]}");
    }
    List<Put> made = new ArrayList<>();
    for (Object each : puts) {
      Map<String, Object> row = (Map<String, Object>) each;
      String key = (String) row.get("key");
      long lease = Net.number(row, "lease");
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return new Net.Resp(403, "{}");
      }
      if (key.length() > 200 || ((String) row.get("value")).length() > 1_400_000) {
        return new Net.Resp(400, "{}");
      }
      if (lease != 0 && !leases.containsKey(lease)) {
        return new Net.Resp(404, "{}");
      }
      made.add(new Put(key, (String) row.get("value"), lease));
    }
    apply(made, deletes.stream().map(String.class::cast).toList());
    return new Net.Resp(200, "{\"revision\":" + revision + "}");
  }
}
