import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Random faults against a small deployment of real processes; prints the rules that are broken. */
final class Soak {

  private static final String HOST = "nony24.example";
  private static final String PREFIX = "/lohu930/";
  private static final int ATTEMPTS = 3;
  private final Random random;
  private final Path folder;
  private final Check check;
  private final StandInStore store;
  private final List<Host> hosts = new ArrayList<>();
  private final List<StandInWorker> workers = new ArrayList<>();
  private final List<StandInStore.Front> fronts = new ArrayList<>();
  private final Map<String, Check.Job> jobs = new ConcurrentHashMap<>();
  private final ExecutorService pool = Executors.newCachedThreadPool();
  private volatile boolean traffic = true;
  private final double durableShare;
  private final String kinds;

  private Soak(long seed, Path folder, double durableShare, String kinds) throws IOException {
    this.random = new Random(seed);
    this.folder = folder;
    this.durableShare = durableShare;
    this.kinds = kinds;
    this.check = new Check(folder.resolve("record.txt"));
    this.store = new StandInStore(seed);
  }

  public static void main(String[] args) throws Exception {
    long seed = Long.parseLong(args[0]);
    int seconds = Integer.parseInt(args[1]);
    Path folder = Path.of(args[2]);
    Files.createDirectories(folder);
    Soak soak = new Soak(seed, folder, Double.parseDouble(args[3]), args.length > 4 ? args[4] : "all");
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> soak.hosts.forEach(Host::end)));
    List<String> broken = List.of("did not run");
    try {
      broken = soak.run(seconds);
    } finally {
      soak.hosts.forEach(Host::end);
    }
    System.out.println("seed " + seed + " starts " + soak.check.startCount() + " broken " + broken.size());
    broken.stream().limit(12).forEach(System.out::println);
    System.exit(broken.isEmpty() ? 0 : 1);
  }

  static String config(int version) {
    return """
        {"version":%d,"routes":[{"name":"r-wrr6x73","host":"%s","prefix":"%s","kind":"unsafe","timeoutMs":1500,
        "targetRuntimeMs":60,"priority":0,"service":"huvo11a","attempts":%d,"stretch":1.6}],
        "services":[{"name":"huvo11a","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,
        "rejectsOverload":%s,"spare":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
        "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
        .formatted(version, HOST, PREFIX, ATTEMPTS, System.getenv("UNGUARDED") == null)
        .replace("\n", "");
  }

  private List<String> run(int seconds) throws Exception {
    String[] zones = {"osl-a", "osl-b", "osl-c"};
    store.put("op/config", config(3));
    for (int i = 0; i < 9; i++) {
      double speed = i % 3 == 2 ? 1.7 : 0.7;
      workers.add(new StandInWorker("i-" + (7000 + i), "huvo11a", zones[i % 3], "r-" + zones[i % 3], 16_000, speed, store, check, random.nextLong()));
      workers.get(i).guards = System.getenv("UNGUARDED") == null;
    }
    for (int i = 0; i < 5; i++) {
      StandInStore.Front front = store.front();
      fronts.add(front);
      Host host = new Host("front-" + i, zones[i % 3], "127.0.0." + (11 + i), front.address(), folder);
      hosts.add(host);
      host.start();
    }
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!hosts.stream().allMatch(Host::isReady)) {
      if (System.nanoTime() > limit) {
        throw new IllegalStateException("hosts not ready");
      }
      Thread.sleep(100);
    }
    check.note("ready");
    Thread faults = new Thread(this::faults);
    faults.start();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < end) {
      pool.execute(this::client);
      Thread.sleep(15 + random.nextInt(40));
    }
    traffic = false;
    faults.join();
    calm();
    Thread.sleep(14_000);
    ask();
    check.finish();
    return check.broken();
  }

  private void calm() throws Exception {
    store.mode = StandInStore.Mode.UP;
    store.lost = 0;
    store.late = 0;
    for (StandInStore.Front front : fronts) {
      front.mute = false;
      front.mode = StandInStore.Mode.UP;
    }
    store.answerMillis = 4;
    for (StandInWorker worker : workers) {
      worker.cut = false;
      worker.mute = false;
      worker.applyLate = 0;
      worker.failsAll = false;
      worker.restart();
      worker.setCpu(16_000);
      worker.setState("ready");
    }
    for (Host host : hosts) {
      if (!host.isAlive()) {
        host.start();
      } else {
        host.signal("CONT");
      }
    }
    check.note("calm");
  }

  /** Asks for all accepted durable jobs. */
  private void ask() throws Exception {
    CountDownLatch left = new CountDownLatch(jobs.size());
    ExecutorService few = Executors.newFixedThreadPool(40);
    for (Check.Job job : jobs.values()) {
      few.execute(
          () -> {
            try {
              if (job.durable && job.accepted && job.cancelSentAt == 0) {
                askFor(job);
              }
            } finally {
              left.countDown();
            }
          });
    }
    left.await(40, TimeUnit.SECONDS);
  }

  private void askFor(Check.Job job) {
    Caller.Answer answer = null;
    for (int i = 0; i < 5; i++) {
      Host host = hosts.get((int) ((Long.parseUnsignedLong(job.id.substring(4), 16) + i) % hosts.size()));
      answer = Caller.call(host.front(), "GET", PREFIX + job.id, HOST, "", 1_500, 2_500);
      if (answer.status() == 200 || answer.status() == 410) {
        break;
      }
    }
    judge(job, answer);
    if (!job.shown.equals("succeeded") && !job.shown.equals("failed")) {
      check.violation("LOST", job.id + " is " + answer + " 14 s after the end of the traffic");
    }
  }

  private void judge(Check.Job job, Caller.Answer answer) {
    if (answer.status() == 410) {
      check.violation("LOST", job.id + " is unknown, accepted at " + job.acceptedAt);
    } else if (answer.status() == 200) {
      job.shown = answer.body().replaceAll(".*\"state\":\"([a-z]*)\".*", "$1");
      boolean without =
          job.shown.equals("cancelled") && job.cancelSentAt == 0
              || job.shown.equals("failed") && !check.mayFail(job);
      if (without) {
        check.violation("LOST", job.id + " is shown as " + job.shown + " without cause");
      }
    }
  }

  private synchronized int next(int bound) {
    return random.nextInt(bound);
  }

  private Host anyHost() {
    return hosts.get(next(hosts.size()));
  }

  private Check.Job newJob() {
    Check.Job job = new Check.Job();
    synchronized (this) {
      job.id = String.format(Locale.ROOT, "%016x", random.nextLong());
      job.durable = random.nextDouble() < durableShare;
      job.attempts = ATTEMPTS;
      int fails = random.nextInt(20) == 0 ? random.nextInt(4) : 0;
      job.maxPerServer = random.nextInt(4) == 0 ? 1 + random.nextInt(2) : 0;
      job.spec = "ms=" + (60 + random.nextInt(900)) + " fail=" + fails + " for=" + job.id;
      int steps = job.durable ? 1 + random.nextInt(3) : 1;
      for (int i = 0; i < steps; i++) {
        job.steps.add(new int[] {1 + random.nextInt(5), 500 + random.nextInt(3_000)});
        job.after.add(i == 0 ? List.of() : List.of(i - 1));
      }
    }
    check.submitted(job);
    return job;
  }

  private static String body(Check.Job job) {
    StringBuilder text = new StringBuilder("{\"spec\":\"" + job.spec + "\",\"steps\":[");
    for (int i = 0; i < job.steps.size(); i++) {
      text.append(i > 0 ? "," : "").append("{\"count\":").append(job.steps.get(i)[0]);
      text.append(",\"cpu\":").append(job.steps.get(i)[1]).append(",\"memMb\":64,\"estimateMs\":400");
      if (job.maxPerServer > 0) {
        text.append(",\"maxPerServer\":").append(job.maxPerServer);
      }
      if (i > 0) {
        text.append(",\"after\":").append(job.after.get(i));
      }
      text.append("}");
    }
    return text.append("]").append(job.durable ? "" : ",\"bestEffort\":true").append("}").toString();
  }

  private void client() {
    Check.Job job = newJob();
    jobs.put(job.id, job);
    for (int i = 0; i < 4 && !job.accepted; i++) {
      job.tries++;
      Host host = anyHost();
      Caller.Answer answer =
          Caller.call(host.front(), "POST", PREFIX + job.id, HOST, body(job), 3_000, 3_500);
      check.note("post " + job.id + " at " + host.name + " -> " + answer);
      if (answer.status() >= 200 && answer.status() < 300) {
        job.accepted = true;
        job.acceptedAt = check.now();
        if (!job.durable) {
          job.shown = answer.body().replaceAll(".*\"state\":\"([a-z]*)\".*", "$1");
        }
      } else if (answer.status() == 0 || answer.status() >= 500 && answer.status() != 503) {
        job.unsure = true;
        sleep(1_300);
      } else {
        break;
      }
    }
    if (job.durable && job.accepted) {
      follow(job);
    }
  }

  private void follow(Check.Job job) {
    if (next(12) == 0) {
      sleep(1_000 + next(2_000));
      Caller.Answer again = Caller.call(anyHost().front(), "POST", PREFIX + job.id, HOST, body(job), 3_000, 3_500);
      check.note("again " + job.id + " -> " + again);
    }
    if (next(12) == 0) {
      sleep(next(800));
      job.cancelSentAt = check.now();
      for (int i = 0; i < 8 && job.cancelAckedAt == 0; i++) {
        Caller.Answer answer = Caller.call(anyHost().front(), "DELETE", PREFIX + job.id, HOST, "", 1_500, 2_000);
        check.note("delete " + job.id + " -> " + answer);
        if (answer.status() == 200) {
          job.cancelAckedAt = check.now();
        } else if (answer.status() == 410) {
          check.violation("LOST", job.id + " is unknown to a cancel");
          return;
        }
        sleep(300);
      }
      return;
    }
    for (int i = 0; i < 3 && !job.shown.equals("succeeded"); i++) {
      sleep(600 + next(3_000));
      long asked = check.now();
      Caller.Answer answer = Caller.call(anyHost().front(), "GET", PREFIX + job.id, HOST, "", 1_500, 2_000);
      if (answer.status() != 410 || asked > job.acceptedAt + 3_000) {
        judge(job, answer);
      }
    }
  }

  private static void sleep(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void faults() {
    String[] all = {
      "kill", "kill", "stop", "term", "storeDown", "storeLost", "storeLate", "storeSlow", "crash", "crash", "cut",
      "mute", "late", "failing", "killAll", "compact", "config", "turnAway", "turnAway", "storeMute", "drain", "shrink", "other", "leave"
    };
    List<String> chosen =
        kinds.equals("all") ? List.of(all) : List.of(kinds.split(","));
    int version = 3;
    try {
      while (traffic) {
        sleep(300 + next(2_500));
        String kind = chosen.get(next(chosen.size()));
        int millis = 800 + next(3_700);
        check.note("fault " + kind + " ms=" + millis);
        if (kind.equals("config")) {
          version += 1 + next(5);
          store.put("op/config", config(version));
        } else {
          fault(kind, millis);
        }
      }
      sleep(6_000);
    } catch (Exception e) {
      check.note("faults " + e);
      throw new IllegalStateException(e);
    }
  }

  private Host leader() {
    List<Host> alive = hosts.stream().filter(Host::isAlive).collect(Collectors.toList());
    return alive.stream().filter(Host::leads).findFirst().orElse(null);
  }

  private void fault(String kind, int millis) throws Exception {
    switch (kind) {
      case "kill" -> {
        Host host = next(3) > 0 ? leader() : anyHost();
        if (host != null && host.isAlive()) {
          check.note("kill " + host.name);
          host.kill();
          later(next(2) == 0 ? 200 : millis, host::start);
        }
      }
      case "killAll" -> {
        for (Host host : hosts) {
          if (host.isAlive()) {
            host.kill();
          }
        }
        sleep(500);
        for (Host host : hosts) {
          if (!host.isAlive()) {
            host.start();
          }
        }
        sleep(3_000);
      }
      case "stop" -> {
        Host host = next(3) > 0 ? leader() : anyHost();
        if (host != null && host.isAlive()) {
          check.note("stop " + host.name);
          host.signal("STOP");
          later(millis, () -> host.signal("CONT"));
        }
      }
      case "term" -> {
        Host host = next(2) > 0 ? leader() : anyHost();
        if (host != null && host.isAlive()) {
          check.note("term " + host.name);
          host.terminate();
          later(
              6_500,
              () -> {
                if (host.isAlive()) {
                  host.kill();
                }
                host.start();
              });
        }
      }
      case "storeDown" -> {
        store.mode = StandInStore.Mode.values()[1 + next(3)];
        later(millis, () -> store.mode = StandInStore.Mode.UP);
      }
      case "storeLost" -> {
        store.lost = 0.35;
        later(millis, () -> store.lost = 0);
      }
      case "storeLate" -> {
        store.late = 0.3;
        later(millis, () -> store.late = 0);
      }
      case "storeSlow" -> {
        store.answerMillis = 240;
        later(millis, () -> store.answerMillis = 4);
      }
      case "compact" -> store.compact();
      case "turnAway", "storeMute" -> turnAway(kind, millis);
      default -> workerFault(kind, millis);
    }
  }

  private void turnAway(String kind, int millis) throws Exception {
    Host host = next(4) > 0 ? leader() : anyHost();
    if (host == null) {
      return;
    }
    StandInStore.Front front = fronts.get(hosts.indexOf(host));
    check.note(kind + " " + host.name);
    if (kind.equals("storeMute")) {
      front.mute = true;
    } else {
      front.mode = StandInStore.Mode.values()[1 + next(3)];
      if (next(2) == 0) {
        store.revoke("marjoramhoist/hosts/" + host.name);
      }
    }
    later(
        millis,
        () -> {
          front.mute = false;
          front.mode = StandInStore.Mode.UP;
        });
  }

  private void workerFault(String kind, int millis) {
    int count = 1 + next(3);
    for (int i = 0; i < count; i++) {
      StandInWorker worker = workers.get(next(workers.size()));
      check.note(kind + " " + worker.id);
      switch (kind) {
        case "crash" -> {
          worker.crash();
          later(next(2) == 0 ? 150 : millis, worker::restart);
        }
        case "cut" -> {
          worker.cut = true;
          later(millis, () -> worker.cut = false);
        }
        case "mute" -> {
          worker.mute = true;
          later(millis, () -> worker.mute = false);
        }
        case "shrink" -> {
          worker.setCpu(6_000);
          later(4_000 + millis, () -> worker.setCpu(16_000));
        }
        case "other" -> {
          String old = worker.id;
          worker.crash();
          later(100 + millis / 2, () -> worker.restartAs("i-" + (9_000 + next(1_000_000))));
          later(4_500, () -> store.delete("servers/" + old));
        }
        case "leave" -> {
          worker.setState("draining");
          later(
              2_500,
              () -> {
                worker.crash();
                worker.unlist();
              });
          later(
              4_500,
              () -> {
                worker.state = "ready";
                worker.restartAs("i-" + (9_000 + next(1_000_000)));
              });
        }
        case "drain" -> {
          worker.setState("draining");
          later(2_200 + millis, () -> worker.setState("ready"));
        }
        case "late" -> {
          worker.applyLate = 0.3;
          later(millis, () -> worker.applyLate = 0);
        }
        default -> {
          worker.failsAll = true;
          later(millis, () -> worker.failsAll = false);
        }
      }
    }
  }

  private interface Act {
    void run() throws Exception;
  }

  private void later(int millis, Act act) {
    pool.execute(
        () -> {
          sleep(millis);
          try {
            act.run();
          } catch (Exception e) {
            check.note("act " + e);
          }
        });
  }
}
