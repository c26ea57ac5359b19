import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Timer;
import java.util.TimerTask;
import java.util.TreeMap;

/** The platform's metadata store, by its page. */
final class StandInStore {

  enum Mode {
    UP,
    SILENT,
    BUSY,
    RESET
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1_000_000;
  private static final int ANSWER_MILLIS = 4;
  private static final int WRITES_PER_SECOND = 400;
  private static final int READS_PER_SECOND = 2_000;
  private static final int MAX_ENTRIES = 32;
  private static final int VALUE_BYTES = 1_048_576;

  private record Item(String key, String value, long revision, long created, long lease) {}

  private record Change(String key, Item item, long revision) {}

  private static final class Lease {
    long ttl;
    long until;
  }

  private final StandInHttp http;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Timer timer = new Timer("store", true);
  private final Random random;
  private long revision = 100;
  private long compacted;
  private long lastLease;
  private double writeTokens = WRITES_PER_SECOND;
  private double readTokens = READS_PER_SECOND;
  private long tokensAt = System.nanoTime();

  volatile Mode mode = Mode.UP;
  volatile int answerMillis = ANSWER_MILLIS;

  /** The share of the writes that are done and not answered. */
  volatile double lost;

  /** The share of the writes that are done 1 to 6 s later and not answered. */
  volatile double late;

  volatile long refusedCalls;

  /** The longest value that was refused as too long, in bytes; 0 if none was. */
  volatile int longestRefusedBytes;

  /** One address of the store, which may turn away those that use it. */
  final class Front {
    private final StandInHttp server;
    volatile Mode mode = Mode.UP;

    /** Whether calls are carried out and their answers are lost. */
    volatile boolean mute;

    private Front() throws IOException {
      server = new StandInHttp(this::serve);
    }

    String address() {
      return server.address();
    }

    private StandInHttp.Reply serve(StandInHttp.Request request) throws Exception {
      StandInHttp.Reply refused = down(mode);
      if (refused != null) {
        return refused;
      }
      StandInHttp.Reply reply = handle(request);
      refused = down(mode);
      return refused != null ? refused : mute ? StandInHttp.Reply.SILENCE : reply;
    }
  }

  /** Opens one more address. */
  Front front() throws IOException {
    return new Front();
  }

  /** Ends the lease of a key, which takes all keys of that lease away. */
  synchronized void revoke(String key) {
    Item item = items.get(key);
    if (item != null && item.lease() != 0) {
      end(item.lease());
    }
  }

  StandInStore(long seed) throws IOException {
    random = new Random(seed);
    http = new StandInHttp(this::handle);
    timer.schedule(task(this::expire), 50, 50);
  }

  static TimerTask task(Runnable runnable) {
    return new TimerTask() {
      @Override
      public void run() {
        runnable.run();
      }
    };
  }

  String address() {
    return http.address();
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  /** Writes as the operator or a worker does. */
  synchronized void put(String key, String value) {
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    revision++;
    set(key, encoded, 0);
    notifyAll();
  }

  synchronized void delete(String key) {
    revision++;
    remove(key);
    notifyAll();
  }

  synchronized String text(String key) {
    Item item = items.get(key);
    return item == null
        ? null
        : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
  }

  synchronized int count(String prefix) {
    return items.subMap(prefix, prefix + "\uffff").size();
  }

  private void set(String key, String value, long lease) {
    Item before = items.get(key);
    Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
    items.put(key, item);
    history.add(new Change(key, item, revision));
  }

  private void remove(String key) {
    if (items.remove(key) != null) {
      history.add(new Change(key, null, revision));
    }
  }

  private synchronized void expire() {
    if (mode != Mode.UP) {
      // Leases pause while the store is down.
      leases.values().forEach(lease -> lease.until += 50);
      return;
    }
    long now = millis();
    for (Map.Entry<Long, Lease> each : List.copyOf(leases.entrySet())) {
      if (each.getValue().until < now) {
        end(each.getKey());
      }
    }
  }

  private void end(long id) {
    leases.remove(id);
    List<String> keys =
        items.values().stream().filter(item -> item.lease() == id).map(Item::key).toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::remove);
      notifyAll();
    }
  }

  private synchronized boolean admits(boolean write, double price) {
    long now = System.nanoTime();
    double elapsed = (now - tokensAt) / 1e9;
    tokensAt = now;
    writeTokens = Math.min(WRITES_PER_SECOND, writeTokens + elapsed * WRITES_PER_SECOND);
    readTokens = Math.min(READS_PER_SECOND, readTokens + elapsed * READS_PER_SECOND);
    if (write ? writeTokens < price : readTokens < price) {
      refusedCalls++;
      return false;
    }
    if (write) {
      writeTokens -= price;
    } else {
      readTokens -= price;
    }
    return true;
  }

  private StandInHttp.Reply down() {
    return down(mode);
  }

  private static StandInHttp.Reply down(Mode mode) {
    return switch (mode) {
      case SILENT -> StandInHttp.Reply.SILENCE;
      case BUSY -> new StandInHttp.Reply(503, "{}");
      case RESET -> StandInHttp.Reply.RESET;
      default -> null;
    };
  }

  private StandInHttp.Reply handle(StandInHttp.Request request) throws Exception {
    StandInHttp.Reply refused = down();
    if (refused != null) {
      return refused;
    }
    Thread.sleep(answerMillis);
    String path = request.path();
    boolean keep = path.startsWith("/v1/kv-keep/");
    boolean write = !keep && !request.method().equals("GET");
    if (!admits(write, keep ? 0.1 : 1)) {
      return new StandInHttp.Reply(429, "{}");
    }
    if (write) {
      double draw;
      synchronized (random) {
        draw = random.nextDouble();
      }
      if (draw < late) {
        long delay;
        synchronized (random) {
          delay = 1_000 + random.nextInt(5_000);
        }
        timer.schedule(task(() -> quietly(request)), delay);
        return StandInHttp.Reply.SILENCE;
      }
      StandInHttp.Reply reply = carryOut(request);
      return draw < late + lost ? StandInHttp.Reply.SILENCE : reply;
    }
    StandInHttp.Reply reply = carryOut(request);
    refused = down();
    return refused != null ? refused : reply;
  }

  private void quietly(StandInHttp.Request request) {
    try {
      carryOut(request);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private StandInHttp.Reply carryOut(StandInHttp.Request request) throws Exception {
    String path = request.path();
    if (path.equals("/v1/kv-range")) {
      return range(request);
    } else if (path.equals("/v1/kv-key")) {
      return key(request);
    } else if (path.equals("/v1/kv-watch")) {
      return watch(request);
    } else if (path.equals("/v1/kv-txn")) {
      return txn(JSON.readTree(request.body()));
    } else if (path.equals("/v1/kv-lease")) {
      return grant(JSON.readTree(request.body()).path("ttlMs").asLong());
    } else if (path.startsWith("/v1/kv-keep/")) {
      return keep(Long.parseLong(path.substring("/v1/kv-keep/".length())));
    } else if (path.startsWith("/v1/kv-lease-end/")) {
      synchronized (this) {
        end(Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
      }
      return new StandInHttp.Reply(200, "{}");
    }
    return new StandInHttp.Reply(404, "{}");
  }

  private static ObjectNode node(Item item) {
    ObjectNode node = JSON.createObjectNode();
    node.put("key", item.key()).put("value", item.value()).put("revision", item.revision());
    return node.put("createRevision", item.created()).put("lease", item.lease());
  }

  private synchronized StandInHttp.Reply range(StandInHttp.Request request) {
    String prefix = request.query().getOrDefault("prefix", "");
    String after = request.query().getOrDefault("after", "");
    ObjectNode root = JSON.createObjectNode();
    ArrayNode list = root.putArray("items");
    int bytes = 0;
    boolean more = false;
    String from = after.compareTo(prefix) >= 0 ? after : prefix;
    for (Item item : items.tailMap(from, !from.equals(after)).values()) {
      if (!item.key().startsWith(prefix)) {
        break;
      }
      if (list.size() >= PAGE_ITEMS || bytes > 0 && bytes + item.value().length() > PAGE_BYTES) {
        more = true;
        break;
      }
      bytes += item.value().length();
      list.add(node(item));
    }
    root.put("hasMore", more).put("asOf", revision);
    return new StandInHttp.Reply(200, root.toString());
  }

  private synchronized StandInHttp.Reply key(StandInHttp.Request request) {
    Item item = items.get(request.query().get("key"));
    return item == null
        ? new StandInHttp.Reply(404, "{}")
        : new StandInHttp.Reply(200, node(item).put("asOf", revision).toString());
  }

  private synchronized StandInHttp.Reply watch(StandInHttp.Request request) throws Exception {
    String prefix = request.query().getOrDefault("prefix", "");
    long after = Long.parseLong(request.query().get("after"));
    long until = millis() + Long.parseLong(request.query().get("waitMs"));
    while (true) {
      if (after < compacted) {
        return new StandInHttp.Reply(410, "{}");
      }
      ObjectNode root = JSON.createObjectNode();
      ArrayNode events = root.putArray("events");
      for (int i = history.size() - 1; i >= 0 && history.get(i).revision() > after; i--) {
        Change change = history.get(i);
        if (change.key().startsWith(prefix)) {
          ObjectNode event =
              change.item() != null
                  ? node(change.item())
                  : JSON.createObjectNode()
                      .put("key", change.key())
                      .put("revision", change.revision())
                      .put("deleted", true);
          events.insert(0, event);
        }
      }
      long left = until - millis();
      if (!events.isEmpty() || left <= 0 || mode != Mode.UP) {
        root.put("asOf", revision);
        StandInHttp.Reply refused = down();
        return refused != null ? refused : new StandInHttp.Reply(200, root.toString());
      }
      wait(Math.min(left, 200));
    }
  }

  private synchronized StandInHttp.Reply txn(JsonNode body) {
    ArrayNode current = JSON.createArrayNode();
    boolean holds = true;
    int entries = body.path("expectedRev").size() + body.path("puts").size() + body.path("deletes").size();
    if (entries > MAX_ENTRIES) {
      return new StandInHttp.Reply(400, "{}");
    }
    for (JsonNode each : body.path("expectedRev")) {
      Item item = items.get(each.path("key").asText());
      long actual = item == null ? 0 : item.revision();
      holds &= actual == each.path("revision").asLong();
      current.add(
          item != null ? node(item) : JSON.createObjectNode().put("key", each.path("key").asText()).put("revision", 0));
    }
    if (!holds) {
      ObjectNode root = JSON.createObjectNode();
      root.set("items", current);
      root.put("asOf", revision);
      return new StandInHttp.Reply(412, root.toString());
    }
    for (JsonNode put : body.path("puts")) {
      String key = put.path("key").asText();
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return new StandInHttp.Reply(403, "{}");
      }
      int bytes = (int) (put.path("value").asText().length() * 3L / 4);
      if (key.length() > 200 || bytes > VALUE_BYTES) {
        longestRefusedBytes = Math.max(longestRefusedBytes, bytes);
        return new StandInHttp.Reply(400, "{}");
      }
      long lease = put.path("lease").asLong();
      if (lease != 0 && !leases.containsKey(lease)) {
        return new StandInHttp.Reply(404, "{}");
      }
    }
    revision++;
    for (JsonNode put : body.path("puts")) {
      set(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
    }
    body.path("deletes").forEach(key -> remove(key.asText()));
    notifyAll();
    return new StandInHttp.Reply(200, "{\"revision\":" + revision + "}");
  }

  private synchronized StandInHttp.Reply grant(long ttl) {
    Lease lease = new Lease();
    lease.ttl = Math.max(1_000, ttl);
    lease.until = millis() + lease.ttl;
    leases.put(++lastLease, lease);
    return new StandInHttp.Reply(200, "{\"lease\":" + lastLease + ",\"ttlMs\":" + lease.ttl + "}");
  }

  private synchronized StandInHttp.Reply keep(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return new StandInHttp.Reply(404, "{}");
    }
    lease.until = millis() + lease.ttl;
    return new StandInHttp.Reply(200, "{\"lease\":" + id + ",\"ttlMs\":" + lease.ttl + "}");
  }

  /** Takes keys and their lease away, as when the store gives up on a machine. */
  synchronized void compact() {
    compacted = revision;
    history.clear();
    notifyAll();
  }
}
