package org.marjoramhoist.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Locale;
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
 * A stand-in of one of the platform's workers: the emulated worker behind HTTP, in real time.
 *
 * <p>A job's payload is the run time of its tasks in milliseconds; each task takes one core. Safe
 * for use by several threads.
 */
public final class PlatformWorkerStandIn implements AutoCloseable {

  private static final long PASS_MILLIS = 2;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;
  private static final double MICROS_PER_MILLI = 1_000;

  private final VirtualTime time = new VirtualTime(nowMicros());
  private final LeasedWorker worker;
  private final LoopbackServer server;
  private final Resources taskNeed;
  private final ScheduledExecutorService timer = DaemonTimer.create("worker-stand-in");
  private boolean silent;

  /**
   * Starts a worker.
   *
   * @param info what it says of itself; its address is replaced
   * @param taskNeed what each task takes
   * @param observer hears what it does
   */
  public PlatformWorkerStandIn(
      WorkerInfo info, Resources taskNeed, LeasedWorker.Observer observer) {
    this.taskNeed = taskNeed;
    this.worker = new LeasedWorker(info, 1, time, observer);
    this.server = new LoopbackServer("127.0.0.1:0", this::handle);
    timer.scheduleAtFixedRate(this::pass, PASS_MILLIS, PASS_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  /** Makes the worker leave calls unanswered, or answer again. */
  public synchronized void setSilent(boolean on) {
    silent = on;
  }

  /** Ends the worker's process and starts a new one that knows nothing. */
  public synchronized void crash() {
    worker.crash();
  }

  /** Returns its entry in the list of workers. */
  public String entry(boolean draining) {
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

  private synchronized void pass() {
    time.runUntil(nowMicros());
  }

  private void handle(HttpServerExchange exchange) {
    Exchanges.receive(exchange, this::answer);
  }

  private synchronized void answer(HttpServerExchange exchange, byte[] body) {
    if (silent) {
      return;
    }
    time.runUntil(nowMicros());
    try {
      JsonNode call = JsonText.MAPPER.readTree(body);
      long fence = call.path("fence").asLong();
      switch (exchange.getRequestPath()) {
        case "/v1/run-start" -> start(exchange, call, fence);
        case "/v1/run-stop" -> {
          boolean done = worker.stop(runOf(call), fence);
          Exchanges.reply(exchange, done ? OK : CONFLICT, "{\"clockMs\":" + worker.clock() + "}");
        }
        case "/v1/hold" ->
            worker.renew(
                fence,
                call.path("seenUpto").asLong(),
                call.path("deadlineMs").asLong(),
                call.path("waitMs").asLong(),
                report -> Exchanges.reply(exchange, OK, write(report)));
        default -> Exchanges.reply(exchange, 404, "{}");
      }
    } catch (IOException e) {
      Exchanges.reply(exchange, 400, "{}");
    }
  }

  private void start(HttpServerExchange exchange, JsonNode call, long fence) {
    double micros = Double.parseDouble(call.path("spec").asText()) * MICROS_PER_MILLI;
    StartReply made =
        worker.start(runOf(call), taskNeed, micros, call.path("deadlineMs").asLong(), fence);
    int status =
        switch (made.verdict()) {
          case STARTED -> OK;
          case UNHEALTHY -> UNAVAILABLE;
          default -> CONFLICT;
        };
    String reason =
        switch (made.verdict()) {
          case STALE_TOKEN -> "fence";
          case STALE_RUN -> "old";
          case LATE -> "late";
          case NO_ROOM -> "room";
          default -> "";
        };
    Exchanges.reply(
        exchange, status, "{\"clockMs\":" + made.clockMillis() + ",\"reason\":\"" + reason + "\"}");
  }

  private static RunRef runOf(JsonNode call) {
    String[] parts = call.path("task").asText().split("\\.");
    TaskRef task =
        new TaskRef(new JobId(parts[0]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
    return new RunRef(task, call.path("run").asInt());
  }

  private static String nameOf(TaskRef task) {
    return task.job() + ".0." + task.step() + "." + task.index();
  }

  private static String write(WorkerReport report) {
    ObjectNode root = JsonText.MAPPER.createObjectNode();
    root.put("clockMs", report.clockMillis()).put("born", report.bornMillis());
    ArrayNode running = root.putArray("running");
    for (WorkerReport.ActiveRun each : report.activeRuns()) {
      ArrayNode row = running.addArray();
      row.add(nameOf(each.run().task()))
          .add(each.run().number())
          .add("")
          .add(each.progressPercent());
    }
    ArrayNode ended = root.putArray("ended");
    for (WorkerReport.Completion each : report.completions()) {
      ArrayNode row = ended.addArray();
      row.add(each.sequence()).add(nameOf(each.run().task())).add(each.run().number());
      row.add(each.outcome().name().toLowerCase(Locale.ROOT)).add("");
    }
    return root.toString();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
