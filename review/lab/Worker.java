import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A worker, as PROTOCOL.md describes it, in a process of its own. The `spec` of a job is the run
 * time of each of its tasks in milliseconds. What begins and ends is printed, a line each.
 *
 * <p>Arguments: port, id, zone, kind, rack, cpu, cpu of a task, store, heartbeatMs, the
 * port that others reach it at. Commands on
 * standard input: `fail N` (the next N runs end failed, by the worker's fault), `refuse` and
 * `accept` (starts are answered with 503), `unguarded` (starts whatever it is told to), `drain`,
 * `late X` (a share X of the orders gets no answer
 * and is carried out 2 to 12 s later).
 */
final class Worker {

  private static final long HOLD_MAX_MILLIS = 1_000;
  private static final String SERVICE = "limitsvc";

  private static final class Run {
    String task;
    long number;
    long startedAt;
    long millis;
    boolean fails;
  }

  private final int port;
  private final String id;
  private final String zone;
  private final String kind;
  private final String rack;
  private final long cpu;
  private final long taskCpu;
  private final String store;
  private final long heartbeatMillis;
  private final int reachedAt;
  private final long born = System.currentTimeMillis();
  private final long clockStart = System.nanoTime();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Long> highestOver = new HashMap<>();
  private final TreeMap<Long, List<Object>> ended = new TreeMap<>();
  private long lastEnd;
  private long fence;
  private long leaseUntil;
  private long lapses;
  private boolean leaseHeld;
  private long seq;
  private int runsToFail;
  private boolean refuses;
  private boolean guards = true;
  private boolean draining;
  private double lateShare;

  private Worker(String[] args) {
    port = Integer.parseInt(args[0]);
    id = args[1];
    zone = args[2];
    kind = args[3];
    rack = args[4];
    cpu = Long.parseLong(args[5]);
    taskCpu = Long.parseLong(args[6]);
    store = args[7];
    heartbeatMillis = Long.parseLong(args[8]);
    reachedAt = Integer.parseInt(args[9]);
  }

  public static void main(String[] args) throws Exception {
    new Worker(args).serve();
  }

  private void serve() throws Exception {
    HttpStandIn.start(port, this::handle);
    startThread(this::heartbeats);
    startThread(this::work);
    BufferedReader commands =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    print("up", "");
    for (String line = commands.readLine(); line != null; line = commands.readLine()) {
      command(line.split(" "));
    }
    System.exit(0);
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private synchronized void command(String[] words) {
    switch (words[0]) {
      case "fail" -> runsToFail = Integer.parseInt(words[1]);
      case "refuse" -> refuses = true;
      case "accept" -> refuses = false;
      case "unguarded" -> guards = false;
      case "drain" -> draining = true;
      case "late" -> lateShare = Double.parseDouble(words[1]);
      default -> throw new IllegalArgumentException(words[0]);
    }
    print("command", String.join(" ", words));
  }

  private void print(String event, String detail) {
    System.out.println(System.currentTimeMillis() + " " + id + " " + event + " " + detail);
    System.out.flush();
  }

  private long clock() {
    return (System.nanoTime() - clockStart) / 1_000_000 + 1;
  }

  private void heartbeats() {
    HttpClient client = HttpClient.newHttpClient();
    while (true) {
      try {
        String body;
        synchronized (this) {
          body = entry();
        }
        HttpRequest request =
            HttpRequest.newBuilder(
                    URI.create(
                        "http://" + store + "/worker?id=" + id + "&ttl=" + 3 * heartbeatMillis))
                .timeout(Duration.ofSeconds(2))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        client.send(request, java.net.http.HttpResponse.BodyHandlers.discarding());
        Thread.sleep(heartbeatMillis);
      } catch (InterruptedException e) {
        return;
      } catch (java.io.IOException e) {
        print("store", e.toString());
      }
    }
  }

  private String entry() {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", SERVICE);
    entry.put("address", "127.0.0.1:" + reachedAt);
    entry.put("zone", zone);
    entry.put("version", "v1");
    entry.put("slots", 8);
    entry.put("state", draining ? "draining" : "ready");
    entry.put("warmupLeftMs", 0);
    entry.put("capacity", Map.of("cpu", cpu, "memMb", 65536, "gpu", 0));
    entry.put("labels", List.of(kind, rack));
    entry.put("clockMs", clock());
    entry.put("seq", ++seq);
    entry.put("born", born);
    return Json.write(entry);
  }

  private void work() {
    while (true) {
      try {
        Thread.sleep(2);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        long now = clock();
        if (leaseHeld && now > leaseUntil) {
          leaseHeld = false;
          lapses++;
        }
        for (Run run : List.copyOf(running.values())) {
          if (now > leaseUntil) {
            end(run, "lapsed");
          } else if (now - run.startedAt >= run.millis) {
            end(run, run.fails ? "failed" : "done");
          }
        }
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    highestOver.merge(run.task, run.number, Math::max);
    ended.put(++lastEnd, List.of(lastEnd, run.task, run.number, how, "", lapses));
    print("end", run.task + " run=" + run.number + " how=" + how);
    notifyAll();
  }

  private HttpStandIn.Reply handle(
      String method, String path, Map<String, String> query, String body, HttpStandIn.Call call)
      throws InterruptedException {
    if (Math.random() < lateShare) {
      // The order gets no answer and is carried out 2 to 12 s later.
      Thread.sleep(2_000 + (long) (10_000 * Math.random()));
      execute(path, body, call);
      return new HttpStandIn.Reply(0, "");
    }
    return execute(path, body, call);
  }

  private synchronized HttpStandIn.Reply execute(
      String path, String body, HttpStandIn.Call call) throws InterruptedException {
    String target = call.header("X-Marjoramhoist-Target-Instance");
    if (target != null && !target.equals(id)) {
      return reply(421, Map.of());
    }
    if (path.equals("/health")) {
      return reply(draining ? 503 : 200, Map.of());
    }
    Map<String, Object> order = Json.object(body);
    if (Json.number(order, "fence") < fence) {
      return rejected("fence");
    }
    fence = Json.number(order, "fence");
    return switch (path) {
      case "/v1/run-start" -> start(order);
      case "/v1/run-stop" -> stop(order);
      case "/v1/hold" -> hold(order);
      default -> reply(404, Map.of());
    };
  }

  private HttpStandIn.Reply reply(int status, Map<String, Object> extra) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("clockMs", clock());
    body.put("born", born);
    body.putAll(extra);
    return new HttpStandIn.Reply(status, Json.write(body));
  }

  private HttpStandIn.Reply rejected(String reason) {
    return reply(409, Map.of("reason", reason));
  }

  private void extendLease(long deadline) {
    if (leaseHeld && clock() > leaseUntil) {
      lapses++;
    }
    leaseHeld = true;
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + HOLD_MAX_MILLIS));
  }

  private HttpStandIn.Reply start(Map<String, Object> order) {
    String task = Json.text(order, "task");
    long number = Json.number(order, "run");
    if (refuses) {
      print("refused", task + " run=" + number);
      return reply(503, Map.of());
    }
    long deadline = Json.number(order, "deadlineMs");
    if (deadline <= clock()) {
      return rejected("late");
    }
    extendLease(deadline);
    Run present = running.get(task);
    if (present != null && present.number == number) {
      return reply(200, Map.of());
    }
    if (present != null || highestOver.getOrDefault(task, 0L) >= number) {
      return rejected("old");
    }
    boolean over = (running.size() + 1) * taskCpu > cpu;
    if (over && guards) {
      return rejected("room");
    }
    Run run = new Run();
    run.task = task;
    run.number = number;
    run.startedAt = clock();
    run.millis = Long.parseLong(Json.text(order, "spec"));
    if (runsToFail > 0) {
      runsToFail--;
      run.fails = true;
    }
    running.put(task, run);
    print("start", task + " run=" + number + " fence=" + fence);
    if (over) {
      print("over", task + " run=" + number + " cpu=" + running.size() * taskCpu);
    }
    return reply(200, Map.of());
  }

  private HttpStandIn.Reply stop(Map<String, Object> order) {
    String task = Json.text(order, "task");
    long number = Json.number(order, "run");
    highestOver.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.number <= number) {
      end(run, "stopped");
    }
    return reply(200, Map.of());
  }

  private HttpStandIn.Reply hold(Map<String, Object> order) throws InterruptedException {
    long deadline = Json.number(order, "deadlineMs");
    if (deadline > clock()) {
      extendLease(deadline);
    }
    Map<Long, List<Object>> seen = ended.headMap(Json.number(order, "seenUpto"), true);
    for (List<Object> row : seen.values()) {
      print("seen", row.get(1) + " run=" + row.get(2) + " lapsed=" + (lapses > (long) row.get(5)));
    }
    seen.clear();
    long until = clock() + Json.number(order, "waitMs");
    while (ended.isEmpty() && clock() < until) {
      wait(Math.max(1, until - clock()));
    }
    List<Object> rows = new ArrayList<>();
    for (Run run : running.values()) {
      long percent = Math.min(99, 100 * (clock() - run.startedAt) / Math.max(1, run.millis));
      rows.add(List.of(run.task, run.number, "", percent, taskCpu));
    }
    List<Object> ends = new ArrayList<>();
    ended.values().forEach(row -> ends.add(row.subList(0, 5)));
    return reply(
        200, Map.of("running", rows, "ended", ends.subList(0, Math.min(500, ends.size()))));
  }
}
