import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** A stand-in of a worker (PROTOCOL.md, "Running tasks"). Its tasks run by the clock only. */
final class Worker {

  private static final long HOLD_MAX_MILLIS = 1000;
  private static final long STOP_MILLIS = 30;

  private static final class Active {
    Judge.Run run;
    long startedNanos;
    long endNanos;
    long stopNanos = Long.MAX_VALUE;
    boolean fails;
    int cpu;
  }

  private record End(int number, Judge.Run run, String how) {}

  final String id;
  final String zone;
  volatile String kind;
  volatile String rack;
  volatile int cpu;
  volatile boolean guards = true;
  private final String service;
  private final Judge judge;
  private final Store store;
  private final Net.Server server;
  private final Random random;
  private final Map<String, Active> running = new LinkedHashMap<>();
  private final TreeMap<Integer, End> ended = new TreeMap<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private int ends;
  private long fence;
  private long leaseUntil;
  private boolean lapsed = true;
  private int endsAtLapse;
  private long born;
  private long clockBase;
  private long bornNanos;
  private int seq;
  volatile boolean up;
  /** Whether calls and answers are lost, while the tasks run on. */
  volatile boolean cut;
  /** How long an answer is held back. */
  volatile long delayMillis;
  /** Share of the starts that are carried out late. */
  volatile double lateStarts;
  volatile boolean draining;
  volatile double slowness = 1;
  /** Whether its tasks make no progress. */
  volatile boolean stuck;

  Worker(String id, String service, String zone, String kind, String rack, int cpu, Judge judge, Store store) throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.kind = kind;
    this.rack = rack;
    this.cpu = cpu;
    this.judge = judge;
    this.store = store;
    this.random = new Random(id.hashCode());
    this.server = new Net.Server(0, this::handle);
    begin();
    Net.thread("ticks-" + id, () -> {
      while (true) {
        Net.sleep(2);
        tick();
      }
    });
    Net.thread("beats-" + id, () -> {
      while (true) {
        beat();
        Net.sleep(1500);
      }
    });
  }

  String address() {
    return "127.0.0.1:" + server.port;
  }

  private synchronized void begin() {
    born = System.currentTimeMillis();
    bornNanos = System.nanoTime();
    clockBase = 1000 + random.nextInt(1_000_000);
    fence = 0;
    leaseUntil = 0;
    lapsed = true;
    endsAtLapse = 0;
    ends = 0;
    seq = 0;
    running.clear();
    ended.clear();
    highest.clear();
    draining = false;
    up = true;
  }

  /** Writes its entry, if it and the store are up. */
  void beat() {
    if (!up || cut) {
      return;
    }
    store.put("servers/" + id, entry());
  }

  synchronized String entry() {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":8,\"state\":\""
        + (draining ? "draining" : "ready") + "\",\"warmupLeftMs\":0,\"capacity\":{\"cpu\":" + cpu + ",\"memMb\":65536,\"gpu\":0},\"labels\":[\"" + kind + "\",\""
        + rack + "\"],\"clockMs\":" + clock() + ",\"born\":" + born + ",\"seq\":" + ++seq + "}";
  }

  /** Ends its process without a word. */
  void crash() {
    server.stop();
    synchronized (this) {
      up = false;
      running.values().forEach(a -> judge.ended(a.run, "crashed"));
      running.clear();
      judge.log("worker " + id + " crashes");
      notifyAll();
    }
  }

  /** Loses its process and its power: nothing is heard of it, and no connection is closed. */
  void goDark() throws IOException {
    synchronized (this) {
      up = false;
      running.values().forEach(a -> judge.ended(a.run, "crashed"));
      running.clear();
      judge.log("worker " + id + " goes dark");
      notifyAll();
    }
    server.goDark();
  }

  /** Has power again and starts a new process; connections from before are reset. */
  void restartAfterDark() throws IOException {
    server.stop();
    restart();
  }

  /** Starts a new process under the same id, at the same address, and registers. */
  void restart() throws IOException {
    begin();
    judge.log("worker " + id + " starts again, life " + born + ", labels " + kind + " " + rack + ", cpu " + cpu);
    server.restart();
    beat();
  }

  void resetConnections() {
    server.resetAll();
  }

  private synchronized long clock() {
    return clockBase + (System.nanoTime() - bornNanos) / 1_000_000;
  }

  private synchronized void tick() {
    if (!up) {
      return;
    }
    long now = System.nanoTime();
    if (!lapsed && clock() >= leaseUntil) {
      lapsed = true;
      for (String task : List.copyOf(running.keySet())) {
        end(task, "lapsed");
      }
      endsAtLapse = ends;
    }
    for (String task : List.copyOf(running.keySet())) {
      Active each = running.get(task);
      if (now >= each.stopNanos) {
        end(task, "stopped");
      } else if (now >= each.endNanos && !stuck) {
        end(task, each.fails ? "failed" : "done");
      }
    }
  }

  private void end(String task, String how) {
    Active active = running.remove(task);
    highest.merge(task, active.run.number, Math::max);
    ended.put(++ends, new End(ends, active.run, how));
    judge.ended(active.run, how);
    notifyAll();
  }

  private void extend(long deadline) {
    long allowed = Math.min(deadline, clock() + HOLD_MAX_MILLIS);
    if (allowed > leaseUntil) {
      leaseUntil = allowed;
      if (allowed > clock()) {
        lapsed = false;
      }
    }
  }

  private Net.Resp handle(Net.Req request) throws Exception {
    long inLife;
    synchronized (this) {
      inLife = born;
    }
    if (cut || !up) {
      return Net.HANG;
    }
    if (request.path().equals("/health")) {
      return new Net.Resp(draining ? 503 : 200, "{}");
    }
    String target = request.headers().get("x-marjoramhoist-target-instance");
    if (target != null && !target.equals(id)) {
      return new Net.Resp(421, "{}");
    }
    if (request.path().equals("/v1/run-start") && random.nextDouble() < lateStarts) {
      Net.sleep(2000 + random.nextInt(3000));
      synchronized (this) {
        if (up && born == inLife) {
          execute(request);
        }
      }
      return Net.HANG;
    }
    Net.Resp response = execute(request);
    if (delayMillis > 0) {
      Net.sleep(delayMillis);
    }
    return cut || !up ? Net.HANG : response;
  }

  private synchronized Net.Resp execute(Net.Req request) throws InterruptedException {
    Map<String, Object> call = Net.object(request.body());
    long token = Net.number(call, "fence");
    String path = request.path();
    if (token < fence) {
      return new Net.Resp(409, "{\"clockMs\":" + clock() + ",\"born\":" + born + ",\"reason\":\"fence\"}");
    }
    fence = token;
    switch (path) {
      case "/v1/run-start":
        return start(call);
      case "/v1/run-stop": {
        String task = (String) call.get("task");
        int number = (int) Net.number(call, "run");
        Active active = running.get(task);
        if (active != null && active.run.number == number) {
          active.stopNanos = Math.min(active.stopNanos, System.nanoTime() + STOP_MILLIS * 1_000_000);
        } else {
          highest.merge(task, number, Math::max);
        }
        return new Net.Resp(200, "{\"clockMs\":" + clock() + ",\"born\":" + born + "}");
      }
      case "/v1/hold":
        return hold(call);
      default:
        return new Net.Resp(404, "{}");
    }
  }

  private Net.Resp start(Map<String, Object> call) {
    String task = (String) call.get("task");
    int number = (int) Net.number(call, "run");
    long deadline = Net.number(call, "deadlineMs");
    String spec = (String) call.get("spec");
    if (deadline <= clock()) {
      return rejected("late");
    }
    Active there = running.get(task);
    if (there != null && there.run.number == number) {
      extend(deadline);
      return new Net.Resp(200, "{\"clockMs\":" + clock() + ",\"born\":" + born + "}");
    }
    if (number <= highest.getOrDefault(task, 0) || there != null) {
      extend(deadline);
      return rejected("old");
    }
    String[] step = spec.split("\\|")[Integer.parseInt(task.split("\\.")[2])].split(",");
    int need = Integer.parseInt(step[1]);
    int used = running.values().stream().mapToInt(a -> a.cpu).sum();
    if (guards && used + need > cpu) {
      extend(deadline);
      return rejected("room");
    }
    extend(deadline);
    Active active = new Active();
    String prefix = task.substring(0, task.lastIndexOf('.') + 1);
    int here = 1 + (int) running.keySet().stream().filter(t -> t.startsWith(prefix)).count();
    active.run = judge.started(task, number, id, born, kind + " " + rack, spec, here, store.leader(Net.number(call, "fence")));
    active.cpu = need;
    active.startedNanos = System.nanoTime();
    active.endNanos = active.startedNanos + (long) (Double.parseDouble(step[0]) * 1_000_000 * slowness);
    active.fails = random.nextDouble() < Double.parseDouble(step[2]);
    running.put(task, active);
    if (step.length > 3) {
      crashLater(task, active, Integer.parseInt(step[3]));
    }
    if (!guards && used + need > cpu) {
      judge.breaks("LIMIT", task + " brings " + id + " to " + (used + need) + " of " + cpu);
    }
    return new Net.Resp(200, "{\"clockMs\":" + clock() + ",\"born\":" + born + "}");
  }

  /** The task ends this worker's process a while after its start; the worker is back 3.2 s later. */
  private void crashLater(String task, Active active, int millis) {
    Net.thread("deadly", () -> {
      Net.sleep(millis);
      synchronized (this) {
        if (running.get(task) != active) {
          return;
        }
      }
      crash();
      Net.sleep(3200);
      try {
        restart();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    });
  }

  private Net.Resp rejected(String reason) {
    return new Net.Resp(409, "{\"clockMs\":" + clock() + ",\"born\":" + born + ",\"reason\":\"" + reason + "\"}");
  }

  private Net.Resp hold(Map<String, Object> call) throws InterruptedException {
    long deadline = Net.number(call, "deadlineMs");
    long seen = Net.number(call, "seenUpto");
    if (deadline > clock()) {
      extend(deadline);
    }
    while (!ended.isEmpty() && ended.firstKey() <= seen) {
      End end = ended.pollFirstEntry().getValue();
      judge.noted(end.run(), end.number() <= endsAtLapse);
    }
    long until = System.nanoTime() + Net.number(call, "waitMs") * 1_000_000;
    long inLife = born;
    while (ended.isEmpty() && System.nanoTime() < until && up && born == inLife) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    if (born != inLife || !up) {
      return Net.HANG;
    }
    StringBuilder out = new StringBuilder("{\"clockMs\":" + clock() + ",\"born\":" + born + ",\"running\":[");
    String comma = "";
    for (Map.Entry<String, Active> each : running.entrySet()) {
      Active a = each.getValue();
      long whole = Math.max(1, a.endNanos - a.startedNanos);
      long percent = stuck ? 0 : Math.max(0, Math.min(99, (System.nanoTime() - a.startedNanos) * 100 / whole));
      out.append(comma).append("[\"" + each.getKey() + "\"," + a.run.number + ",\"\"," + percent + "]");
      comma = ",";
    }
    out.append("],\"ended\":[");
    comma = "";
    int rows = 0;
    for (End each : ended.values()) {
      if (rows++ == 500) {
        break;
      }
      out.append(comma).append("[" + each.number() + ",\"" + each.run().task + "\"," + each.run().number + ",\"" + each.how() + "\",\"\"]");
      comma = ",";
    }
    return new Net.Resp(200, out + "]}");
  }
}
