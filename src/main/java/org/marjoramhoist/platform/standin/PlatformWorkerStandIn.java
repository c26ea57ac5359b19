package org.marjoramhoist.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.dispatch.StartReply;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.dispatch.WorkerReport;
import org.marjoramhoist.experiment.LeasedWorker;
import org.marjoramhoist.experiment.VirtualTime;
import org.marjoramhoist.http.Exchanges;
import org.marjoramhoist.http.LoopbackServer;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.supervise.DaemonTimer;

/**
 * A stand-in for a worker of the platform: the emulated worker, served over HTTP in real time.
 *
 * <p>A job's payload is the run time of each of its tasks, in milliseconds, and may go on after a
 * space. Safe for use by several threads.
 */
public final class PlatformWorkerStandIn implements AutoCloseable {

  private static final long TICK_INTERVAL_MILLIS = 2;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int UNAVAILABLE = 503;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final String TARGET_HEADER = "X-Marjoramhoist-Target-Instance";

  private final VirtualTime time = new VirtualTime(nowMicros());
  private final LeasedWorker worker;
  private final LoopbackServer server;
  private final Resources taskNeed;
  private final ScheduledExecutorService timer = DaemonTimer.create("worker-stand-in");
  private final Map<JobId, String> payloads = new HashMap<>();
  private boolean unresponsive;

  /**
   * Starts a worker.
   *
   * @param info the worker's registration; the address is replaced
   * @param taskNeed the resources that each task uses
   * @param observer is notified of runs
   */
  public PlatformWorkerStandIn(
      WorkerInfo info, Resources taskNeed, LeasedWorker.Observer observer) {
    this.taskNeed = taskNeed;
    this.worker = new LeasedWorker(info, 1, time, observer);
    this.server = new LoopbackServer("127.0.0.1:0", this::handle);
    timer.scheduleAtFixedRate(
        this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  /** Makes the worker leave calls unanswered, or answer them again. */
  public synchronized void setUnresponsive(boolean unresponsive) {
    this.unresponsive = unresponsive;
  }

  /** Replaces the worker's process by a new one without any state. */
  public synchronized void crash() {
    worker.crash();
  }

  /** Returns the payload in the latest start order for a task of a job; null if there was none. */
  public synchronized String payloadOf(JobId job) {
    return payloads.get(job);
  }

  /** Returns the worker's registration. */
  public String registration(boolean draining) {
    WorkerInfo info = worker.info();
    ObjectNode root = JsonText.MAPPER.createObjectNode();
    root.put("service", info.upstream()).put("address", server.address());
    root.put("zone", info.failureDomain()).put("version", "1").put("slots", 8);
    root.put("state", draining ? "draining" : "ready").put("born", info.bornMillis());
    root.putObject("capacity")
        .put("cpu", info.capacity().cpuMillis())
        .put("memMb", info.capacity().memoryMib())
        .put("gpu", info.capacity().accelerators());
    root.putArray("labels").add(info.kind()).add(info.rack());
    return root.toString();
  }

  private synchronized void tick() {
    time.runUntil(nowMicros());
  }

  private void handle(HttpServerExchange exchange) {
    Exchanges.receive(exchange, this::dispatch);
  }

  private synchronized void dispatch(HttpServerExchange exchange, byte[] body) {
    if (unresponsive) {
      return;
    }
    time.runUntil(nowMicros());
    if (isMisdirected(exchange.getRequestHeaders().getFirst(TARGET_HEADER))) {
      Exchanges.reply(exchange, MISDIRECTED_REQUEST, "{}");
      return;
    }
    try {
      JsonNode call = JsonText.MAPPER.readTree(body);
      long fence = call.path("fence").asLong();
      switch (exchange.getRequestPath()) {
        case "/v1/run-start" -> start(exchange, call, fence);
        case "/v1/run-stop" -> {
          boolean stopped = worker.stop(parseRun(call), fence);
          Exchanges.reply(
              exchange, stopped ? OK : CONFLICT, "{\"clockMs\":" + worker.clock() + "}");
        }
        case "/v1/hold" ->
            worker.renew(
                fence,
                call.path("seenUpto").asLong(),
                call.path("deadlineMs").asLong(),
                call.path("waitMs").asLong(),
                report -> Exchanges.reply(exchange, OK, reportBody(report)));
        default -> Exchanges.reply(exchange, 404, "{}");
      }
    } catch (IOException e) {
      Exchanges.reply(exchange, 400, "{}");
    }
  }

  /** Tells whether a call is meant for another worker; a call may name none. */
  private boolean isMisdirected(String target) {
    return target != null && !target.equals(worker.info().id());
  }

  private void start(HttpServerExchange exchange, JsonNode call, long fence) {
    String payload = call.path("spec").asText();
    double micros = Double.parseDouble(payload.split(" ")[0]) * MICROS_PER_MILLI;
    StartReply startReply =
        worker.start(parseRun(call), taskNeed, micros, call.path("deadlineMs").asLong(), fence);
    payloads.put(parseRun(call).task().job(), payload);
    int status =
        switch (startReply.verdict()) {
          case STARTED -> OK;
          case UNHEALTHY -> UNAVAILABLE;
          default -> CONFLICT;
        };
    String reason =
        switch (startReply.verdict()) {
          case STALE_TOKEN -> "fence";
          case STALE_RUN -> "old";
          case LATE -> "late";
          case NO_ROOM -> "room";
          default -> "";
        };
    Exchanges.reply(
        exchange,
        status,
        "{\"clockMs\":" + startReply.clockMillis() + ",\"reason\":\"" + reason + "\"}");
  }

  private static RunRef parseRun(JsonNode call) {
    String[] parts = call.path("task").asText().split("\\.");
    TaskRef task =
        new TaskRef(new JobId(parts[0]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
    return new RunRef(task, call.path("run").asInt());
  }

  private static String taskName(TaskRef task) {
    return task.job() + ".0." + task.step() + "." + task.index();
  }

  private static String reportBody(WorkerReport report) {
    ObjectNode root = JsonText.MAPPER.createObjectNode();
    root.put("clockMs", report.clockMillis()).put("born", report.bornMillis());
    ArrayNode activeRuns = root.putArray("running");
    for (WorkerReport.ActiveRun activeRun : report.activeRuns()) {
      ArrayNode row = activeRuns.addArray();
      row.add(taskName(activeRun.run().task()))
          .add(activeRun.run().number())
          .add("")
          .add(activeRun.progressPercent());
    }
    ArrayNode completions = root.putArray("ended");
    for (WorkerReport.Completion completion : report.completions()) {
      ArrayNode row = completions.addArray();
      row.add(completion.sequence())
          .add(taskName(completion.run().task()))
          .add(completion.run().number());
      row.add(completion.outcome().name().toLowerCase(Locale.ROOT)).add("");
    }
    return root.toString();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
