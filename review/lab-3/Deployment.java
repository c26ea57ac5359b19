import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** A small deployment: a store, workers, and hosts as processes; all end with this process. */
final class Deployment {

  static final String HOST = "nony24.example";
  static final String PREFIX = "/lohu930/";
  private static final int USUAL_ATTEMPTS = 3;
  private static final String[] ZONES = {"osl-a", "osl-b", "osl-c", "osl-d"};
  private static final int WORKERS_PER_RACK = 6;
  private static final int READY_SECONDS = 20;
  private static final int CANNOT_RUN = 2;
  private static final int RESTART_MILLIS = 700;

  final Check check;

  /** The attempts of a task, by the configuration. */
  int attempts = USUAL_ATTEMPTS;

  /** The value of LANG that the processes get; null for none. */
  String lang = System.getenv("LANG");

  final StandInStore store;
  final List<StandInWorker> workers = new ArrayList<>();
  final List<Host> hosts = new ArrayList<>();

  /** How often a process ended that nobody had told to. */
  final AtomicInteger endedByItself = new AtomicInteger();

  private final Random random;
  private final Path folder;
  private volatile boolean supervised;

  Deployment(Path record, long seed) throws IOException {
    check = new Check(record);
    random = new Random(seed);
    store = new StandInStore(seed);
    folder = Files.createTempDirectory("lab3");
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    Thread.currentThread()
        .setUncaughtExceptionHandler(
            (thread, error) -> {
              System.out.println("the case could not run: " + error);
              System.exit(CANNOT_RUN);
            });
  }

  String config(int version, String extraRoutes) {
    return """
        {"version":%d,"routes":[{"name":"r-wrr6x73","host":"%s","prefix":"%s","kind":"unsafe","timeoutMs":1500,
        "targetRuntimeMs":60,"priority":0,"service":"huvo11a","attempts":%d,"stretch":1.6}%s],
        "services":[{"name":"huvo11a","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,
        "rejectsOverload":true,"spare":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
        "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
        .formatted(version, HOST, PREFIX, attempts, extraRoutes)
        .replace("\n", "");
  }

  /** Starts workers and hosts and waits until all hosts are ready. */
  void start(int hostCount, int workerCount, int workerCpu) throws Exception {
    store.put("op/config", config(3, ""));
    for (int i = 0; i < workerCount; i++) {
      String id = "i-" + (7_000 + i);
      workers.add(
          new StandInWorker(
              id, "huvo11a", zoneOf(i), rackOf(i), workerCpu, 1, store, check, random.nextLong()));
    }
    for (int i = 0; i < hostCount; i++) {
      hosts.add(
          new Host("front-" + i, ZONES[i % ZONES.length], "127.0.0." + (11 + i), store.address(), folder));
    }
    for (Host host : hosts) {
      host.lang = lang;
    }
    for (Host host : hosts) {
      host.start();
    }
    awaitReady();
    check.note("all hosts are ready");
  }

  private static String zoneOf(int number) {
    return ZONES[number % ZONES.length];
  }

  private static String rackOf(int number) {
    return "r-" + zoneOf(number) + "-" + number / ZONES.length / WORKERS_PER_RACK;
  }

  void awaitReady() throws InterruptedException, IOException {
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    while (!hosts.stream().allMatch(Host::isReady)) {
      if (System.nanoTime() > limit) {
        for (Host host : hosts) {
          check.note(host.name + " alive=" + host.isAlive() + " ready=" + host.isReady() + " last line: " + lastLine(host));
        }
        throw new IllegalStateException("the hosts are not ready");
      }
      Thread.sleep(100);
    }
  }

  /** Starts each process again that ends, after a short delay, as the platform does. */
  void superviseHosts() {
    supervised = true;
    for (Host host : hosts) {
      Thread thread = new Thread(() -> supervise(host));
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void supervise(Host host) {
    try {
      while (supervised) {
        int code = host.process.waitFor();
        if (!supervised) {
          return;
        }
        endedByItself.incrementAndGet();
        check.note("the process of " + host.name + " ended by itself with " + code + ": " + lastLine(host));
        Thread.sleep(RESTART_MILLIS);
        if (supervised) {
          host.start();
        }
      }
    } catch (InterruptedException | IOException e) {
      check.note("supervisor of " + host.name + ": " + e);
    }
  }

  private static String lastLine(Host host) throws IOException {
    List<String> lines = Files.readAllLines(host.log());
    for (int i = lines.size() - 1; i >= Math.max(0, lines.size() - 30); i--) {
      if (lines.get(i).contains("OutOfMemory") || lines.get(i).contains("Terminating")) {
        return lines.get(i).substring(0, Math.min(200, lines.get(i).length()));
      }
    }
    return lines.isEmpty() ? "" : lines.get(lines.size() - 1).substring(0, Math.min(200, lines.get(lines.size() - 1).length()));
  }

  /** Returns the host that leads, waiting for one if need be. */
  Host leader() throws InterruptedException {
    for (int i = 0; i < 100; i++) {
      for (Host host : hosts) {
        if (host.isAlive() && host.leads()) {
          return host;
        }
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException("no host leads");
  }

  synchronized String newId() {
    return String.format(Locale.ROOT, "%016x", random.nextLong());
  }

  /** Returns a job that was not submitted yet; each step follows the one before. */
  Check.Job job(boolean durable, String spec, int[]... steps) {
    Check.Job job = new Check.Job();
    job.id = newId();
    job.durable = durable;
    job.attempts = attempts;
    job.spec = spec;
    for (int i = 0; i < steps.length; i++) {
      job.steps.add(steps[i]);
      job.after.add(i == 0 ? List.of() : List.of(i - 1));
    }
    check.submitted(job);
    return job;
  }

  static String body(Check.Job job, int estimateMillis) {
    StringBuilder text = new StringBuilder("{\"spec\":\"" + job.spec + "\",\"steps\":[");
    for (int i = 0; i < job.steps.size(); i++) {
      text.append(i > 0 ? "," : "").append("{\"count\":").append(job.steps.get(i)[0]);
      text.append(",\"cpu\":").append(job.steps.get(i)[1]).append(",\"memMb\":1,\"estimateMs\":").append(estimateMillis);
      if (!job.label.isEmpty()) {
        text.append(",\"requiredLabel\":\"").append(job.label).append("\"");
      }
      if (i > 0) {
        text.append(",\"after\":").append(job.after.get(i));
      }
      text.append("}");
    }
    return text.append("]").append(job.durable ? "" : ",\"bestEffort\":true").append("}").toString();
  }

  /** Submits a job once and records the answer. */
  Caller.Answer submit(Host host, Check.Job job, int estimateMillis, int deadlineMillis) {
    job.tries++;
    Caller.Answer answer =
        Caller.call(
            host.front(), "POST", PREFIX + job.id, HOST, body(job, estimateMillis), deadlineMillis, deadlineMillis + 500);
    check.note("POST " + job.id + " at " + host.name + " -> " + answer.status() + " " + answer.body());
    if (answer.status() == 200) {
      job.accepted = true;
      job.acceptedAt = check.now();
      if (!job.durable) {
        job.shown = stateIn(answer.body());
      }
    } else if (answer.status() == 0 || answer.status() == 502 || answer.status() == 504) {
      job.unsure = true;
    }
    return answer;
  }

  Caller.Answer get(Host host, Check.Job job) {
    Caller.Answer answer = Caller.call(host.front(), "GET", PREFIX + job.id, HOST, "", 1_500, 2_000);
    check.note("GET " + job.id + " at " + host.name + " -> " + answer.status() + " " + answer.body());
    return answer;
  }

  static String stateIn(String body) {
    return body.replaceAll(".*\"state\":\"([a-z]*)\".*", "$1");
  }

  /** Ends all hosts and deletes their files. */
  private void end() {
    supervised = false;
    try {
      for (Host host : hosts) {
        host.end();
      }
      if (System.getenv("KEEP_LOGS") == null) {
        try (Stream<Path> files = Files.list(folder)) {
          for (Path file : files.toList()) {
            Files.delete(file);
          }
        }
        Files.delete(folder);
      }
    } catch (IOException e) {
      check.note("end of the hosts: " + e);
    }
    check.close();
  }

  /** Ends the script: 1 if a rule was broken, 0 if all held. */
  static void exit(List<String> broken) {
    broken.stream().limit(10).forEach(System.out::println);
    System.out.println(broken.isEmpty() ? "held" : "broken: " + broken.size());
    System.out.flush();
    System.exit(broken.isEmpty() ? 0 : 1);
  }
}
