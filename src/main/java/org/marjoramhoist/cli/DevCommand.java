package org.marjoramhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.SplittableRandom;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.HdrHistogram.Histogram;
import org.marjoramhoist.host.EntryHost;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.standin.DevCluster;

/** Runs everything in one process and submits a sample job. */
final class DevCommand implements Command {

  private static final int WORKERS = 5;
  private static final int MAX_TASKS = 1_000;
  private static final long SEED = 20_261_204;
  private static final long MIN_TASK_MILLIS = 50;
  private static final long MAX_TASK_MILLIS = 250;
  private static final long DEADLINE_MILLIS = 30_000;
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long POLL_MILLIS = 100;
  private static final int PROGRESS_MILLIS = 250;
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final double MICROS_PER_MILLI = 1_000;

  @Override
  public String name() {
    return "dev";
  }

  @Override
  public String summary() {
    return "Run a host, a store and workers in one process, and submit a sample job.";
  }

  @Override
  public String example() {
    return "marjoramhoist dev --once";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("--once")
        .action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
        .help("end after the sample job instead of staying up");
    parser.addArgument("--hosts").type(Integer.class).setDefault(1).help("entry hosts");
    parser.addArgument("--tasks").type(Integer.class).setDefault(300).help("tasks of the job");
  }

  @Override
  public ExitCode run(Namespace arguments) throws Exception {
    int tasks = arguments.getInt("tasks");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new CommandFailure(ExitCode.BAD_INPUT, "tasks must be from 1 to " + MAX_TASKS);
    }
    try (DevCluster cluster = new DevCluster(arguments.getInt("hosts"), WORKERS)) {
      EntryHost host = cluster.hosts().get(0);
      try (HostClient callers = new HostClient(host.listen().callers(), "");
          HostClient operators = new HostClient(host.listen().operators(), "")) {
        declareResources(cluster, operators);
        ExitCode code = runJob(callers, operators, tasks);
        if (!arguments.getBoolean("once")) {
          stayUp(host);
        }
        return code;
      }
    }
  }

  private static void declareResources(DevCluster cluster, HostClient operators)
      throws CommandFailure, InterruptedException {
    String path = "/v1/apply?source=embedded";
    JsonNode applied = operators.json("POST", path, cluster.declarations(), TIMEOUT_MILLIS);
    long revision = applied.path("revision").asLong();
    System.out.println("declared " + applied.path("changes").size() + " resources");
    for (long waited = 0; waited < TIMEOUT_MILLIS; waited += POLL_MILLIS) {
      JsonNode status = operators.json("GET", "/v1/status", "", TIMEOUT_MILLIS);
      boolean inForce = status.path("configRevision").asLong() >= revision;
      if (inForce && status.path("shards").size() > 0) {
        return;
      }
      Thread.sleep(POLL_MILLIS);
    }
    throw new CommandFailure(ExitCode.FAILED, "the configuration did not come into force");
  }

  private static ExitCode runJob(HostClient callers, HostClient operators, int tasks)
      throws CommandFailure, InterruptedException {
    String id = "quickstart-" + Long.toString(System.currentTimeMillis(), 36);
    String body = job(tasks).toString();
    System.out.println("submitted " + id + " with " + tasks + " tasks");
    long startNanos = System.nanoTime();
    String path = "/v1/jobs/" + id + "?wait=" + PROGRESS_MILLIS;
    HttpReply reply = callers.call("PUT", path, body, TIMEOUT_MILLIS);
    while (reply.status() == ACCEPTED) {
      JsonNode status = operators.json("GET", "/v1/status", "", TIMEOUT_MILLIS);
      System.out.printf(
          Locale.ROOT,
          "  waiting %s, running %s%n",
          status.path("waitingTasks"),
          status.path("attempts"));
      reply = callers.call("GET", path, "", TIMEOUT_MILLIS);
    }
    double millis = (System.nanoTime() - startNanos) / 1e6;
    JsonNode answer = HostClient.parse(reply);
    if (reply.status() != OK) {
      System.out.println("answer: " + answer);
      return ExitCode.FAILED;
    }
    int results = answer.path("results").size();
    System.out.printf(
        Locale.ROOT, "answer: complete, %d of %d results in %.0f ms%n", results, tasks, millis);
    System.out.print(histogram(answer));
    return results == tasks && accountAddsUp(operators, id, tasks) ? ExitCode.OK : ExitCode.FAILED;
  }

  private static ObjectNode job(int tasks) {
    ObjectNode job = JsonText.MAPPER.createObjectNode();
    job.put("team", "demo");
    job.put("class", "plume-snapshot");
    job.put("caller", "quickstart");
    job.put("deadlineMillis", System.currentTimeMillis() + DEADLINE_MILLIS);
    ArrayNode list = job.putArray("tasks");
    SplittableRandom random = new SplittableRandom(SEED);
    for (int i = 0; i < tasks; i++) {
      long size = random.nextLong(MIN_TASK_MILLIS, MAX_TASK_MILLIS);
      ObjectNode task = list.addObject();
      task.put("id", "district-" + i);
      task.put("payload", String.valueOf(size));
      task.put("declaredMillis", size);
    }
    return job;
  }

  private static String histogram(JsonNode answer) {
    Histogram runs = new Histogram(3);
    answer.path("results").forEach(result -> runs.recordValue(result.path("runMicros").asLong()));
    return String.format(
        Locale.ROOT,
        "class plume-snapshot: run p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms%n",
        runs.getValueAtPercentile(50) / MICROS_PER_MILLI,
        runs.getValueAtPercentile(90) / MICROS_PER_MILLI,
        runs.getValueAtPercentile(99) / MICROS_PER_MILLI,
        runs.getMaxValue() / MICROS_PER_MILLI);
  }

  /** The accounts are written within about a second of the run. */
  private static boolean accountAddsUp(HostClient operators, String id, int tasks)
      throws CommandFailure, InterruptedException {
    long accounted = 0;
    JsonNode report = JsonText.MAPPER.createObjectNode();
    for (long waited = 0; waited < TIMEOUT_MILLIS && accounted < tasks; waited += POLL_MILLIS) {
      Thread.sleep(POLL_MILLIS);
      String path = "/v1/report?by=submission,worker,outcome";
      report = operators.json("GET", path, "", TIMEOUT_MILLIS);
      accounted = 0;
      for (JsonNode row : report.path("rows")) {
        if (row.path("group").path(0).asText().equals(id)) {
          accounted += row.path("tasks").asLong();
        }
      }
    }
    System.out.println("account of the run:");
    System.out.print(ReportCommand.table(report));
    System.out.println("tasks submitted " + tasks + ", tasks accounted " + accounted);
    return accounted == tasks;
  }

  private static void stayUp(EntryHost host) throws InterruptedException {
    System.out.println("callers:   curl http://" + host.listen().callers() + "/readyz");
    System.out.println("operators: curl http://" + host.listen().operators() + "/v1/status");
    System.out.println("stop with Ctrl-C");
    Thread.sleep(Long.MAX_VALUE);
  }
}
