import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Timer;

/**
 * A worker of the platform, by its page. A task's behaviour stands in the job's spec as words:
 * {@code ms=N} its run time, {@code fail=N} how many of its runs fail, {@code hang} it never ends.
 */
final class StandInWorker {

  static final int HOLD_MAX_MILLIS = 1_000;
  private static final int STOP_MILLIS = 30;
  private static final int HEARTBEAT_MILLIS = 1_500;
  private static final int DEADLY_MILLIS = 50;

  /** A room that has shrunk counts after the settle window and a heartbeat. */
  private static final int SHRUNK_COUNTS_MILLIS = 3_000 + HEARTBEAT_MILLIS;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Hears what the worker does; times are those of {@link System#nanoTime}. */
  interface Observer {
    void started(StandInWorker worker, long life, String task, int run, String spec, long fence);

    void ended(StandInWorker worker, long life, long number, String task, int run, String how);

    /** Ends up to a number are taken note of. */
    void seen(StandInWorker worker, long life, long upto, long fence);

    void leaseLapsed(StandInWorker worker, long life);

    /** What a job's tasks need, in thousandths of a core. */
    int cpuOf(String task);

    /** A worker that does not guard its capacity was told to start a task beyond it. */
    void overfilled(StandInWorker worker, String task, int cpu);

    /** The number of runs of a task that failed so far. */
    int failuresOf(String task);
  }

  private static final class Run {
    String task;
    int number;
    int cpu;
    long startedAt;
    long endsAt;
    long stopAt = Long.MAX_VALUE;
    boolean fails;
  }

  private record End(long number, String task, int run, String how) {}

  volatile String id;
  final String zone;
  final String rack;
  final String service;
  volatile int cpu;

  /** Since when its capacity is smaller than before. */
  volatile long shrunkAt;
  final double speed;
  private final StandInStore store;
  private final Observer observer;
  private final StandInHttp http;
  private final Timer timer;
  private final Random random;
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<String, Integer> over = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long clockBase;
  private long born;
  private long fence;
  private long leaseUntil;
  private boolean lapseTold = true;
  private long lastEnd;
  private long seq;
  private boolean crashed;
  String state = "ready";
  boolean registered = true;

  /** Whether calls get no answer and are not carried out. */
  volatile boolean cut;

  /** Whether it is cut off from the machines that call it, silently, and still reaches the store. */
  volatile boolean cutFromMachines;

  /** Its first label. */
  volatile String kind = "a";

  /** Whether calls are carried out and their answers are lost. */
  volatile boolean mute;

  /** The share of the orders that get no answer and are carried out 2 to 12 s later. */
  volatile double applyLate;

  /** Whether all that it starts fails. */
  volatile boolean failsAll;

  /** Called once the worker has crashed under a task that crashes all that start it; null for none. */
  volatile Runnable onDeadlyTask;

  /** Whether it rejects what does not fit. */
  volatile boolean guards = true;

  StandInWorker(
      String id, String service, String zone, String rack, int cpu, double speed, StandInStore store, Observer observer, long seed)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.rack = rack;
    this.cpu = cpu;
    this.speed = speed;
    this.store = store;
    this.observer = observer;
    this.random = new Random(seed);
    this.timer = new Timer("worker-" + id, true);
    begin();
    this.http = new StandInHttp(this::handle);
    timer.schedule(StandInStore.task(this::tick), 5, 5);
    timer.schedule(StandInStore.task(this::beat), 0, HEARTBEAT_MILLIS);
  }

  private void begin() {
    clockBase = now() - 1_000 - random.nextInt(400_000);
    born = System.currentTimeMillis();
    fence = 0;
    leaseUntil = 0;
    lapseTold = true;
    lastEnd = 0;
    seq = 0;
    runs.clear();
    over.clear();
    ends.clear();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private long clock() {
    return now() - clockBase;
  }

  long life() {
    return born;
  }

  synchronized boolean isUp() {
    return !crashed;
  }

  /** Ends the process: it refuses connections, and has forgotten all once it is back. */
  synchronized void crash() {
    if (crashed) {
      return;
    }
    crashed = true;
    for (Run run : List.copyOf(runs.values())) {
      observer.ended(this, born, 0, run.task, run.number, "crashed");
    }
    runs.clear();
    http.crash();
    notifyAll();
  }

  private void dieUnderTask() {
    crash();
    onDeadlyTask.run();
  }

  /** Starts again under the same id. */
  synchronized void restart() throws IOException {
    if (!crashed) {
      return;
    }
    begin();
    crashed = false;
    http.listen();
    timer.schedule(StandInStore.task(this::beat), 0);
  }

  /** Starts again at the same address as another worker. */
  synchronized void restartAs(String nextId) throws IOException {
    if (crashed) {
      id = nextId;
      restart();
    }
  }

  /** Changes its first label. */
  void setKind(String next) {
    kind = next;
    beat();
  }

  /** Crashes and starts again under its id, without a connection that is reset. */
  synchronized void crashBehindCut() {
    for (Run run : List.copyOf(runs.values())) {
      observer.ended(this, born, 0, run.task, run.number, "crashed");
    }
    begin();
    notifyAll();
  }

  /** Changes the capacity that it tells of. */
  void setCpu(int next) {
    shrunkAt = next < cpu ? now() : shrunkAt;
    cpu = next;
    beat();
  }

  private void beat() {
    synchronized (this) {
      if (crashed || !registered) {
        return;
      }
      seq++;
    }
    if (store.mode != StandInStore.Mode.UP || cut) {
      return;
    }
    ObjectNode root = JSON.createObjectNode();
    root.put("service", service).put("address", http.address()).put("zone", zone).put("version", "v1");
    root.put("slots", 8).put("state", state).put("warmupLeftMs", 0).put("clockMs", clock()).put("seq", seq);
    root.put("born", born);
    root.putObject("capacity").put("cpu", cpu).put("memMb", 65_536).put("gpu", 0);
    root.putArray("labels").add(kind).add(rack);
    store.put("servers/" + id, root.toString());
  }

  /** Reports that it drains, or that it is ready again. */
  void setState(String next) {
    synchronized (this) {
      state = next;
    }
    beat();
  }

  /** Removes its entry, as after three heartbeats of silence. */
  void unlist() {
    store.delete("servers/" + id);
  }

  private synchronized void tick() {
    if (crashed) {
      return;
    }
    long now = now();
    if (clock() > leaseUntil && !lapseTold) {
      lapseTold = true;
      observer.leaseLapsed(this, born);
      for (Run run : List.copyOf(runs.values())) {
        end(run, "lapsed");
      }
    }
    for (Run run : List.copyOf(runs.values())) {
      if (now >= run.stopAt) {
        end(run, "stopped");
      } else if (now >= run.endsAt) {
        end(run, run.fails || failsAll ? "failed" : "done");
      }
    }
  }

  private void end(Run run, String how) {
    runs.remove(run.task);
    over.merge(run.task, run.number, Math::max);
    ends.add(new End(++lastEnd, run.task, run.number, how));
    observer.ended(this, born, lastEnd, run.task, run.number, how);
    notifyAll();
  }

  private StandInHttp.Reply handle(StandInHttp.Request request) throws Exception {
    if (cut || cutFromMachines) {
      return StandInHttp.Reply.SILENCE;
    }
    long lifeAtArrival = life();
    JsonNode call = JSON.readTree(request.body());
    String target = request.headers().get("x-marjoramhoist-target-instance");
    boolean order = request.path().equals("/v1/run-start") || request.path().equals("/v1/run-stop");
    if (order && draw() < applyLate) {
      long delay = 2_000 + (long) (draw() * 10_000);
      timer.schedule(
          StandInStore.task(
              () -> {
                try {
                  if (isUp() && life() == lifeAtArrival) {
                    carryOut(request.path(), target, call);
                  }
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              }),
          delay);
      return StandInHttp.Reply.SILENCE;
    }
    StandInHttp.Reply reply = carryOut(request.path(), target, call);
    return mute || cut || cutFromMachines ? StandInHttp.Reply.SILENCE : reply;
  }

  private synchronized double draw() {
    return random.nextDouble();
  }

  private StandInHttp.Reply carryOut(String path, String target, JsonNode call) throws Exception {
    if (target != null && !target.equals(id)) {
      return new StandInHttp.Reply(421, "{}");
    }
    return switch (path) {
      case "/v1/run-start" -> start(call);
      case "/v1/run-stop" -> stop(call);
      case "/v1/hold" -> hold(call);
      case "/health" -> new StandInHttp.Reply(200, "{}");
      default -> new StandInHttp.Reply(404, "{}");
    };
  }

  private StandInHttp.Reply answer(int status, String reason) {
    ObjectNode root = JSON.createObjectNode();
    root.put("clockMs", clock()).put("born", born);
    if (!reason.isEmpty()) {
      root.put("reason", reason);
    }
    return new StandInHttp.Reply(status, root.toString());
  }

  private boolean isStale(JsonNode call) {
    long token = call.path("fence").asLong();
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private void extend(long deadline) {
    if (deadline > 0) {
      long next = Math.min(deadline, clock() + HOLD_MAX_MILLIS);
      if (next > leaseUntil) {
        leaseUntil = next;
        lapseTold = next <= clock();
      }
    }
  }

  private synchronized StandInHttp.Reply start(JsonNode call) {
    if (crashed) {
      return StandInHttp.Reply.RESET;
    }
    tick();
    if (isStale(call)) {
      return answer(409, "fence");
    }
    String task = call.path("task").asText();
    int number = call.path("run").asInt();
    Run there = runs.get(task);
    if (there != null && there.number == number) {
      extend(call.path("deadlineMs").asLong());
      return answer(200, "");
    }
    if (call.path("deadlineMs").asLong() <= clock()) {
      return answer(409, "late");
    }
    extend(call.path("deadlineMs").asLong());
    if (number <= over.getOrDefault(task, 0) || there != null) {
      return answer(409, "old");
    }
    int need = observer.cpuOf(task);
    int used = runs.values().stream().mapToInt(run -> run.cpu).sum();
    if (used + need > cpu) {
      if (guards) {
        return answer(409, "room");
      }
      if (now() - shrunkAt > SHRUNK_COUNTS_MILLIS)
      observer.overfilled(this, task, used + need);
    }
    String spec = call.path("spec").asText();
    Run run = new Run();
    run.task = task;
    run.number = number;
    run.cpu = need;
    run.startedAt = now();
    run.endsAt = hangs(spec) ? Long.MAX_VALUE : run.startedAt + (long) (word(spec, "ms", 100) * speed);
    run.fails = observer.failuresOf(task) < word(spec, "fail", 0);
    runs.put(task, run);
    observer.started(this, born, task, number, spec, fence);
    if (onDeadlyTask != null && spec.contains(" deadly")) {
      timer.schedule(StandInStore.task(this::dieUnderTask), DEADLY_MILLIS);
    }
    return answer(200, "");
  }

  private static boolean hangs(String spec) {
    return spec.startsWith("hang") || spec.contains(" hang");
  }

  static long word(String spec, String name, long fallback) {
    for (String word : spec.split(" ")) {
      if (word.startsWith(name + "=")) {
        return Long.parseLong(word.substring(name.length() + 1));
      }
    }
    return fallback;
  }

  private synchronized StandInHttp.Reply stop(JsonNode call) {
    if (crashed) {
      return StandInHttp.Reply.RESET;
    }
    tick();
    if (isStale(call)) {
      return answer(409, "fence");
    }
    String task = call.path("task").asText();
    int number = call.path("run").asInt();
    Run run = runs.get(task);
    if (run != null && run.number == number) {
      run.stopAt = Math.min(run.stopAt, now() + STOP_MILLIS);
    }
    over.merge(task, number, Math::max);
    return answer(200, "");
  }

  private synchronized StandInHttp.Reply hold(JsonNode call) throws InterruptedException {
    if (crashed) {
      return StandInHttp.Reply.RESET;
    }
    tick();
    if (isStale(call)) {
      return answer(409, "fence");
    }
    long life = born;
    extend(call.path("deadlineMs").asLong());
    long upto = call.path("seenUpto").asLong();
    if (upto > 0) {
      observer.seen(this, born, Math.min(upto, lastEnd), fence);
      ends.removeIf(end -> end.number() <= upto);
    }
    long until = now() + call.path("waitMs").asLong();
    while (ends.isEmpty() && now() < until && !crashed && born == life) {
      wait(Math.max(1, until - now()));
    }
    if (crashed || born != life) {
      return cutFromMachines ? StandInHttp.Reply.SILENCE : StandInHttp.Reply.RESET;
    }
    ObjectNode root = JSON.createObjectNode();
    root.put("clockMs", clock()).put("born", born);
    ArrayNode running = root.putArray("running");
    for (Run run : runs.values()) {
      long total = Math.max(1, run.endsAt - run.startedAt);
      double percent = run.endsAt == Long.MAX_VALUE ? 0 : 100.0 * (now() - run.startedAt) / total;
      running.addArray().add(run.task).add(run.number).add("").add((int) Math.min(99, percent)).add(run.cpu);
    }
    ArrayNode ended = root.putArray("ended");
    for (End end : ends.subList(0, Math.min(500, ends.size()))) {
      ended.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add("");
    }
    return new StandInHttp.Reply(200, root.toString());
  }
}
