import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment: entry hosts as processes, with stand-ins of store, workers and clients. */
final class Lab implements AutoCloseable {

  static final String HOST = "queue.example";
  static final String PREFIX = "/jobs/";
  static final int ATTEMPTS = 3;

  /** Whether the logs of the hosts are kept. */
  private static final boolean KEEP = "1".equals(System.getenv("KEEP"));

  final Judge judge = new Judge();
  final Store store = new Store();
  final List<Worker> workers = new CopyOnWriteArrayList<>();
  final List<Host> hosts = new ArrayList<>();
  final Path folder;
  private final Random ids = new Random();

  Lab(int hostCount, int zones) throws IOException {
    folder = Files.createTempDirectory("marjoramhoist-review-");
    for (int i = 0; i < hostCount; i++) {
      String name = "front-" + (char) ('a' + i % zones) + "-" + (i / zones + 1);
      hosts.add(new Host(name, "zone-" + (char) ('a' + i % zones), store.listen(name).port, folder, judge));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  void putConfig(long version, boolean guards) {
    store.put("op/config", "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + HOST + "\",\"prefix\":\"" + PREFIX
        + "\",\"kind\":\"unsafe\",\"timeoutMs\":1500,\"targetRuntimeMs\":60,\"priority\":0,\"service\":\"svc\",\"attempts\":" + ATTEMPTS
        + ",\"stretch\":1.6}],\"services\":[{\"name\":\"svc\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":"
        + guards + ",\"spare\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  }

  Worker addWorker(String zone, String kind, String rack, int cpu) throws IOException {
    Worker worker = new Worker("i-" + String.format("%08x", ids.nextInt()), "svc", zone, kind, rack, cpu, judge, store);
    workers.add(worker);
    return worker;
  }

  void startHosts() throws IOException {
    for (Host host : hosts) {
      host.start();
    }
    long until = Judge.now() + 20_000;
    while (Judge.now() < until && !hosts.stream().allMatch(Host::isReady)) {
      Net.sleep(100);
    }
    if (!hosts.stream().allMatch(Host::isReady)) {
      throw new IOException("the hosts don't get ready");
    }
    Net.sleep(1500);
    judge.log("all hosts are ready");
  }

  Host leader() {
    long until = Judge.now() + 5000;
    while (Judge.now() < until) {
      for (Host host : hosts) {
        if (host.leads()) {
          return host;
        }
      }
      Net.sleep(50);
    }
    throw new IllegalStateException("no leader");
  }

  Host follower() {
    Host leader = leader();
    return hosts.stream().filter(h -> h != leader && h.isReady()).findFirst().orElseThrow();
  }

  synchronized String newId() {
    return String.format("%016x", ids.nextLong());
  }

  Judge.Job newJob(List<Judge.Step> steps, boolean bestEffort) {
    StringBuilder spec = new StringBuilder();
    for (Judge.Step s : steps) {
      spec.append(spec.length() == 0 ? "" : "|").append(s.millis() + "," + s.cpu() + "," + s.fails());
    }
    Judge.Job job = new Judge.Job(newId(), spec.toString(), steps, bestEffort, ATTEMPTS);
    judge.add(job);
    return job;
  }

  Net.Resp post(Host host, Judge.Job job, int timeout) {
    synchronized (job) {
      job.posts++;
    }
    judge.log("POST " + job.id + " to " + host.name);
    Net.Resp response = Net.call(host.front, "POST", PREFIX + job.id, HOST, job.body(), timeout);
    judge.log("POST " + job.id + " to " + host.name + " -> " + response.status() + " " + response.body());
    synchronized (job) {
      if (response.status() / 100 == 2 && job.acceptedAt == 0) {
        job.acceptedAt = Judge.now();
      }
      if (response.status() == 429 || response.status() == 503 || response.status() == 404) {
        job.rejected++;
      }
    }
    if (job.bestEffort && response.status() == 200) {
      judge.shown(job, state(response));
    }
    return response;
  }

  static String state(Net.Resp response) {
    Object state = response.body().startsWith("{") ? Net.object(response.body()).get("state") : null;
    return state == null ? "" : (String) state;
  }

  Net.Resp get(Host host, Judge.Job job) {
    Net.Resp response = Net.call(host.front, "GET", PREFIX + job.id, HOST, "", 2000);
    judge.log("GET " + job.id + " at " + host.name + " -> " + response.status() + " " + response.body());
    if (response.status() == 200) {
      judge.shown(job, state(response));
    }
    return response;
  }

  Net.Resp delete(Host host, Judge.Job job) {
    if (job.cancelSentAt == 0) {
      job.cancelSentAt = Judge.now();
    }
    Net.Resp response = Net.call(host.front, "DELETE", PREFIX + job.id, HOST, "", 2000);
    judge.log("DELETE " + job.id + " at " + host.name + " -> " + response.status() + " " + response.body());
    if ((response.status() / 100 == 2 || response.status() == 410) && job.cancelAckedAt == 0) {
      job.cancelAckedAt = Judge.now();
    }
    return response;
  }

  /** Waits until a job has ended; returns its state. */
  String await(Judge.Job job, long millis) {
    long until = Judge.now() + millis;
    while (Judge.now() < until) {
      for (Host host : hosts) {
        if (host.isReady()) {
          Net.Resp response = get(host, job);
          String state = response.status() == 200 ? state(response) : "" + response.status();
          if (List.of("succeeded", "failed", "cancelled", "410").contains(state)) {
            return state;
          }
          break;
        }
      }
      Net.sleep(250);
    }
    return "open";
  }

  @Override
  public void close() {
    Host.endAll();
  }

  private void deleteFolder() {
    if (KEEP) {
      return;
    }
    try (java.util.stream.Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException e) {
      System.out.println("can't delete " + folder + ": " + e.getMessage());
    }
  }

  /** Writes the record, and exits as the rule held or not. */
  void finish(Path record, List<String> rules) {
    judge.checkAll();
    judge.write(record);
    List<String> broken = judge.broken.stream().filter(b -> rules.isEmpty() || rules.contains(b.substring(0, b.indexOf(':')))).toList();
    broken.stream().limit(10).forEach(b -> System.out.println("BROKEN " + b));
    System.out.println(broken.size() + " broken; " + judge.jobs.size() + " jobs, " + judge.runCount() + " runs" + (KEEP ? "; logs in " + folder : ""));
    close();
    deleteFolder();
    System.out.flush();
    Runtime.getRuntime().halt(broken.isEmpty() ? 0 : 1);
  }
}
