package org.marjoramhoist.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramhoist.http.LoopbackServer;
import org.marjoramhoist.http.Replies;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.supervise.DaemonTimer;
import org.marjoramhoist.upstream.WorkerProtocol;
import org.marjoramhoist.upstream.WorkerProtocol.Reply;
import org.marjoramhoist.upstream.WorkerProtocol.StartBody;
import org.xnio.IoUtils;

/**
 * Stands in for a worker: runs tasks by waiting, within its slots, and records every start.
 *
 * <p>A payload that is a number is the size of the task in milliseconds; one that starts with
 * {@code fail} fails. Safe for use by several threads.
 */
public final class WorkerStandIn implements AutoCloseable {

  private static final long DEFAULT_SIZE_MILLIS = 50;
  private static final long MICROS_PER_MILLI = 1_000;

  private static final class Run {
    private final CompletableFuture<Reply> end = new CompletableFuture<>();
    private volatile long leaseDeadlineMillis;
    private volatile ScheduledFuture<?> timer;
  }

  private final String name;
  private final int slots;
  private final long bootMillis = System.currentTimeMillis();
  private final AtomicInteger running = new AtomicInteger();
  private final Map<String, Run> runs = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> starts = new ConcurrentHashMap<>();
  private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer;
  private final LoopbackServer server;
  private volatile WorkerFaults faults = WorkerFaults.NONE;

  /**
   * Starts a worker.
   *
   * @param name its name
   * @param address {@code host:port}; port 0 takes any free one
   * @param slots how many tasks it runs at once
   */
  public WorkerStandIn(String name, String address, int slots) {
    this.name = name;
    this.slots = slots;
    this.timer = DaemonTimer.create("worker-" + name);
    this.server = new LoopbackServer(address, this::handle);
  }

  /** Returns the address it listens on. */
  public String address() {
    return server.address();
  }

  /** Returns its name. */
  public String name() {
    return name;
  }

  /** Makes it misbehave from now on. */
  public void setFaults(WorkerFaults next) {
    faults = next;
  }

  /** Returns how often each task, as {@code submission/task}, was started. */
  public Map<String, AtomicInteger> starts() {
    return starts;
  }

  /** Returns how many messages of a kind it has had: attempts, refused, settled, cancelled. */
  public long count(String kind) {
    return counters.getOrDefault(kind, new AtomicLong()).get();
  }

  private void countUp(String kind) {
    counters.computeIfAbsent(kind, key -> new AtomicLong()).incrementAndGet();
  }

  private void handle(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    if (path.equals("/standin/faults")) {
      exchange.getRequestReceiver().receiveFullString(this::readFaults);
    } else if (path.equals("/standin/starts")) {
      Replies.json(exchange, StatusCodes.OK, JsonText.of(starts));
    } else if (path.equals("/standin/counts")) {
      Replies.json(exchange, StatusCodes.OK, JsonText.of(counters));
    } else if (!path.startsWith(WorkerProtocol.ATTEMPTS)) {
      Replies.json(exchange, StatusCodes.NOT_FOUND, "{\"error\":\"no such path\"}");
    } else {
      attempt(exchange, path.substring(WorkerProtocol.ATTEMPTS.length()));
    }
  }

  private void readFaults(HttpServerExchange exchange, String body) {
    try {
      JsonNode node = JsonText.MAPPER.readTree(body);
      double slowness = node.has("slowness") ? node.get("slowness").asDouble() : 1;
      setFaults(
          new WorkerFaults(
              slowness,
              node.path("failAll").asBoolean(),
              node.path("silent").asBoolean(),
              node.path("leaving").asBoolean(),
              node.path("loseReplies").asBoolean()));
      Replies.json(exchange, StatusCodes.OK, "{}");
    } catch (JsonProcessingException e) {
      Replies.json(exchange, StatusCodes.BAD_REQUEST, "{\"error\":\"not JSON\"}");
    }
  }

  private void attempt(HttpServerExchange exchange, String rest) {
    if (exchange.getRequestMethod().equals(Methods.DELETE)) {
      countUp("cancelled");
      cancel(rest);
      Replies.json(exchange, StatusCodes.OK, "{}");
    } else if (rest.endsWith("/settle")) {
      countUp("settled");
      String id = rest.substring(0, rest.length() - "/settle".length());
      exchange.getRequestReceiver().receiveFullString((ex, body) -> settle(ex, id, body));
    } else {
      countUp("attempts");
      exchange.getRequestReceiver().receiveFullString((ex, body) -> start(ex, rest, body));
    }
  }

  private void start(HttpServerExchange exchange, String id, String body) {
    StartBody task;
    try {
      task = JsonText.MAPPER.readValue(body, StartBody.class);
    } catch (JsonProcessingException e) {
      Replies.json(exchange, StatusCodes.BAD_REQUEST, "{\"error\":\"not JSON\"}");
      return;
    }
    String refusal = refusalOf(id, task);
    if (refusal != null) {
      countUp("refused");
      boolean leaving = faults.leaving();
      send(exchange, new Reply(WorkerProtocol.NOT_STARTED, "", refusal, 0, leaving, bootMillis));
      return;
    }
    Run run = runs.get(id);
    run.leaseDeadlineMillis = task.leaseDeadlineMillis();
    String key = task.submission() + "/" + task.task();
    starts.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
    begin(run, task);
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () -> run.end.thenAccept(r -> exchange.getIoThread().execute(() -> finish(exchange, r))));
  }

  /** Returns why the attempt is not started; null if it took a slot. */
  private String refusalOf(String id, StartBody task) {
    if (faults.leaving()) {
      return "leaving";
    }
    if (task.leaseDeadlineMillis() <= System.currentTimeMillis()) {
      return "the lease has lapsed";
    }
    if (running.incrementAndGet() > slots) {
      running.decrementAndGet();
      return "no free slot";
    }
    if (runs.putIfAbsent(id, new Run()) != null) {
      running.decrementAndGet();
      return "the attempt was barred or is known";
    }
    return null;
  }

  private void begin(Run run, StartBody task) {
    long startNanos = System.nanoTime();
    boolean fails = faults.failAll() || task.payload().startsWith("fail");
    long millis = faults.failAll() ? 1 : (long) (sizeOf(task.payload()) * faults.slowness());
    run.timer =
        timer.schedule(() -> end(run, task, startNanos, fails), millis, TimeUnit.MILLISECONDS);
    run.end.thenRun(running::decrementAndGet);
  }

  private void end(Run run, StartBody task, long startNanos, boolean fails) {
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    if (System.currentTimeMillis() > run.leaseDeadlineMillis) {
      run.end.complete(
          new Reply(WorkerProtocol.FAILED, "", "the lease lapsed", micros, false, bootMillis));
    } else if (fails) {
      run.end.complete(
          new Reply(WorkerProtocol.FAILED, "", "told to fail", micros, false, bootMillis));
    } else {
      String value = "done:" + task.task();
      run.end.complete(new Reply(WorkerProtocol.DONE, value, "", micros, false, bootMillis));
    }
  }

  private static long sizeOf(String payload) {
    try {
      return Math.max(0, Long.parseLong(payload));
    } catch (NumberFormatException e) {
      return DEFAULT_SIZE_MILLIS;
    }
  }

  private void finish(HttpServerExchange exchange, Reply reply) {
    WorkerFaults now = faults;
    if (now.loseReplies()) {
      IoUtils.safeClose(exchange.getConnection());
    } else if (!now.silent()) {
      send(exchange, reply);
    }
  }

  private void cancel(String id) {
    Run run = runs.get(id);
    if (run != null && run.timer != null && run.timer.cancel(false)) {
      run.end.complete(
          new Reply(WorkerProtocol.FAILED, "", "cancelled", MICROS_PER_MILLI, false, bootMillis));
    }
  }

  private void settle(HttpServerExchange exchange, String id, String body) {
    Run barred = new Run();
    barred.end.complete(
        new Reply(WorkerProtocol.NOT_STARTED, "", "never received", 0, false, bootMillis));
    Run known = runs.putIfAbsent(id, barred);
    Run run = known == null ? barred : known;
    if (run.end.isDone()) {
      send(exchange, run.end.join());
      return;
    }
    try {
      long lease = JsonText.MAPPER.readTree(body).path("leaseDeadlineMillis").asLong();
      run.leaseDeadlineMillis = Math.max(run.leaseDeadlineMillis, lease);
    } catch (JsonProcessingException e) {
      countUp("unreadable");
    }
    send(exchange, new Reply(WorkerProtocol.RUNNING, "", "", 0, false, bootMillis));
  }

  private static void send(HttpServerExchange exchange, Reply reply) {
    Replies.json(exchange, StatusCodes.OK, JsonText.of(reply));
  }

  /** Returns how many tasks run at present. */
  public int running() {
    return running.get();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
