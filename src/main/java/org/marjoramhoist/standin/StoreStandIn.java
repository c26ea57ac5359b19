package org.marjoramhoist.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramhoist.http.LoopbackServer;
import org.marjoramhoist.http.Replies;
import org.marjoramhoist.json.JsonText;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Stands in for the platform's store: the JSON gateway of etcd v3 over keys held in memory.
 *
 * <p>It can be told to be down or slow, and to lose replies after a change took effect; it counts
 * the calls. Safe for use by several threads.
 */
public final class StoreStandIn implements AutoCloseable {

  private static final long POLL_MILLIS = 5;
  private static final long LEASE_CHECK_MILLIS = 100;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final KeyValues data = new KeyValues();
  private final Map<String, AtomicLong> calls = new ConcurrentHashMap<>();
  private final Set<WatchStream> watches = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final AtomicInteger repliesToLose = new AtomicInteger();
  private final LoopbackServer server;
  private volatile boolean down;
  private volatile long slowMillis;

  /**
   * Starts a store.
   *
   * @param address {@code host:port}; port 0 takes any free one
   */
  public StoreStandIn(String address) {
    server = new LoopbackServer(address, this::handle);
    timer.scheduleAtFixedRate(
        () -> data.expire(System.currentTimeMillis()),
        LEASE_CHECK_MILLIS,
        LEASE_CHECK_MILLIS,
        TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(
        () -> watches.forEach(WatchStream::poll), POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the address it listens on. */
  public String address() {
    return server.address();
  }

  /** Makes the store refuse every call and cut every watch, or serve again. */
  public void setDown(boolean isDown) {
    down = isDown;
    if (isDown) {
      watches.forEach(WatchStream::cut);
    }
  }

  /** Makes every call take so much longer, in milliseconds. */
  public void setSlow(long millis) {
    slowMillis = millis;
  }

  /** Loses the replies of the next transactions after they took effect. */
  public void loseReplies(int count) {
    repliesToLose.set(count);
  }

  /** Returns how many calls of a path were made; a watch is one. */
  public long calls(String path) {
    return calls.getOrDefault(path, new AtomicLong()).get();
  }

  /** Returns how many calls were made. */
  public long allCalls() {
    return calls.values().stream().mapToLong(AtomicLong::get).sum();
  }

  private void handle(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    if (path.equals("/standin/faults")) {
      exchange.getRequestReceiver().receiveFullString((ex, body) -> setFaults(ex, body));
      return;
    }
    if (path.equals("/standin/calls")) {
      Replies.json(exchange, StatusCodes.OK, JsonText.of(calls));
      return;
    }
    calls.computeIfAbsent(path, key -> new AtomicLong()).incrementAndGet();
    if (down) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    exchange.getRequestReceiver().receiveFullString((ex, body) -> delayed(ex, path, body));
  }

  private void setFaults(HttpServerExchange exchange, String body) {
    try {
      JsonNode faults = JsonText.MAPPER.readTree(body);
      setDown(faults.path("down").asBoolean());
      setSlow(faults.path("slowMillis").asLong());
      loseReplies(faults.path("loseReplies").asInt());
      Replies.json(exchange, StatusCodes.OK, "{}");
    } catch (JsonProcessingException e) {
      Replies.json(exchange, StatusCodes.BAD_REQUEST, "{\"error\":\"not JSON\"}");
    }
  }

  private void delayed(HttpServerExchange exchange, String path, String body) {
    if (slowMillis <= 0) {
      serve(exchange, path, body);
      return;
    }
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            exchange
                .getIoThread()
                .executeAfter(
                    () -> serve(exchange, path, body), slowMillis, TimeUnit.MILLISECONDS));
  }

  private void serve(HttpServerExchange exchange, String path, String body) {
    try {
      JsonNode request = JsonText.MAPPER.readTree(body);
      switch (path) {
        case "/v3/kv/range" -> reply(exchange, range(request));
        case "/v3/kv/txn" -> txn(exchange, request);
        case "/v3/lease/grant" -> reply(exchange, grant(request));
        case "/v3/lease/keepalive" -> reply(exchange, keepAlive(request));
        case "/v3/watch" -> watch(exchange, request.path("create_request"));
        default -> Replies.json(exchange, StatusCodes.NOT_FOUND, "{\"error\":\"no such path\"}");
      }
    } catch (JsonProcessingException | IllegalArgumentException e) {
      Replies.json(exchange, StatusCodes.BAD_REQUEST, JsonText.of(Map.of("error", e.toString())));
    }
  }

  private static void reply(HttpServerExchange exchange, JsonNode body) {
    Replies.json(exchange, StatusCodes.OK, body.toString());
  }

  private ObjectNode withHeader() {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    node.putObject("header").put("revision", String.valueOf(data.revision()));
    return node;
  }

  private ObjectNode range(JsonNode request) {
    ObjectNode node = withHeader();
    ArrayNode kvs = node.putArray("kvs");
    List<KeyValues.Item> found = data.range(key(request, "key"), key(request, "range_end"));
    found.forEach(item -> kvs.add(kv(item)));
    node.put("count", String.valueOf(found.size()));
    return node;
  }

  private static String key(JsonNode node, String field) {
    byte[] bytes = Base64.getDecoder().decode(node.path(field).asText());
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static ObjectNode kv(KeyValues.Item item) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    node.put("key", encode(item.key()));
    node.put("value", item.value());
    node.put("create_revision", String.valueOf(item.created()));
    node.put("mod_revision", String.valueOf(item.modified()));
    node.put("version", String.valueOf(item.version()));
    return node;
  }

  private void txn(HttpServerExchange exchange, JsonNode request) {
    ObjectNode node;
    synchronized (data) {
      boolean holds = true;
      for (JsonNode compare : request.path("compare")) {
        long expected = compare.path("mod_revision").asLong();
        holds &= data.modified(key(compare, "key")) == expected;
      }
      ArrayNode responses = JsonText.MAPPER.createArrayNode();
      JsonNode steps = request.path(holds ? "success" : "failure");
      boolean changes = false;
      for (JsonNode step : steps) {
        changes |= !step.has("request_range");
      }
      if (changes) {
        data.change(() -> steps.forEach(step -> responses.add(run(step))));
      } else {
        steps.forEach(step -> responses.add(run(step)));
      }
      node = withHeader();
      node.put("succeeded", holds);
      node.set("responses", responses);
    }
    if (repliesToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    reply(exchange, node);
  }

  private ObjectNode run(JsonNode step) {
    ObjectNode response = JsonText.MAPPER.createObjectNode();
    if (step.has("request_put")) {
      JsonNode put = step.get("request_put");
      data.put(key(put, "key"), put.path("value").asText(), put.path("lease").asLong());
      response.set("response_put", withHeader());
    } else if (step.has("request_delete_range")) {
      JsonNode delete = step.get("request_delete_range");
      data.delete(key(delete, "key"), key(delete, "range_end"));
      response.set("response_delete_range", withHeader());
    } else {
      response.set("response_range", range(step.path("request_range")));
    }
    return response;
  }

  private ObjectNode grant(JsonNode request) {
    long ttl = request.path("TTL").asLong();
    long id = data.grant(System.currentTimeMillis(), ttl * MILLIS_PER_SECOND);
    ObjectNode node = withHeader();
    node.put("ID", String.valueOf(id));
    node.put("TTL", String.valueOf(ttl));
    return node;
  }

  private ObjectNode keepAlive(JsonNode request) {
    long id = request.path("ID").asLong();
    long ttl = data.renew(id, System.currentTimeMillis()) / MILLIS_PER_SECOND;
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    ObjectNode result = node.putObject("result");
    result.put("ID", String.valueOf(id));
    result.put("TTL", String.valueOf(ttl));
    return node;
  }

  private void watch(HttpServerExchange exchange, JsonNode request) {
    long from = request.path("start_revision").asLong();
    long start = from > 0 ? from : data.revision() + 1;
    String first = key(request, "key");
    String end = key(request, "range_end");
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () -> watches.add(new WatchStream(exchange, first, end, start)));
  }

  /** One watch: sends the changes it has not sent yet whenever it is polled. */
  private final class WatchStream {
    private final HttpServerExchange exchange;
    private final String from;
    private final String to;
    private long next;
    private boolean created;
    private boolean writing;
    private StreamSinkChannel sink;

    WatchStream(HttpServerExchange exchange, String from, String to, long next) {
      this.exchange = exchange;
      this.from = from;
      this.to = to;
      this.next = next;
    }

    void poll() {
      exchange.getIoThread().execute(this::send);
    }

    private void send() {
      if (!exchange.getConnection().isOpen()) {
        watches.remove(this);
        return;
      }
      if (writing) {
        return;
      }
      StringBuilder lines = new StringBuilder();
      if (!created) {
        created = true;
        lines.append("{\"result\":{\"created\":true}}\n");
      }
      List<KeyValues.Change> changes = data.changes(from, to, next);
      if (!changes.isEmpty()) {
        next = changes.get(changes.size() - 1).revision() + 1;
        lines.append(line(changes)).append('\n');
      }
      if (lines.length() > 0) {
        write(lines.toString());
      }
    }

    private String line(List<KeyValues.Change> changes) {
      ObjectNode node = JsonText.MAPPER.createObjectNode();
      ObjectNode result = node.putObject("result");
      result.putObject("header").put("revision", String.valueOf(next - 1));
      ArrayNode events = result.putArray("events");
      for (KeyValues.Change change : changes) {
        ObjectNode event = events.addObject();
        if (change.deleted()) {
          event.put("type", "DELETE");
        }
        event.set("kv", kv(change.item()));
      }
      return node.toString();
    }

    private void write(String text) {
      if (sink == null) {
        sink = exchange.getResponseChannel();
      }
      ByteBuffer buffer = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
      writing = true;
      sink.getWriteSetter().set(channel -> flush(buffer));
      flush(buffer);
    }

    private void flush(ByteBuffer buffer) {
      try {
        while (buffer.hasRemaining()) {
          if (sink.write(buffer) == 0) {
            sink.resumeWrites();
            return;
          }
        }
        if (sink.flush()) {
          sink.suspendWrites();
          writing = false;
        } else {
          sink.resumeWrites();
        }
      } catch (IOException e) {
        cut();
      }
    }

    void cut() {
      watches.remove(this);
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
