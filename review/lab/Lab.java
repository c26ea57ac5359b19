import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: entry hosts started with the line of the deploy file,
 * workers in processes of their own, and the store in this process. Records what is sent, answered
 * and run, and ends all processes that it started.
 */
final class Lab implements AutoCloseable {

  /** The bounds of the deployment, as on the sheet of the small site. */
  static final long CANCEL_MILLIS = 3_000;

  static final long VISIBLE_MILLIS = 3_000;
  static final long FINISH_MILLIS = 14_000;
  static final long SETTLE_MILLIS = 3_000;
  static final long STOP_MILLIS = 50;
  static final int HEARTBEAT_MILLIS = 1_500;

  static final String HOST_NAME = "jobs.example";
  static final String PREFIX = "/q/";

  /** An event at a worker: start, end, refused, up or command. */
  record Event(long at, String worker, String what, String detail) {
    boolean isOf(String job) {
      return detail.startsWith(job + ".");
    }

    /** The name of the task and the number of the run. */
    String run() {
      String[] words = detail.split(" ");
      return words[0] + " " + words[1];
    }
  }

  /** An entry host. */
  record Host(
      String name, String zone, int front, int ready, Process process, List<String> command) {}

  /** A worker; its process is replaced when it starts again. */
  static final class WorkerProcess {
    final String id;
    final int port;
    final List<String> command;
    Process process;

    WorkerProcess(String id, int port, List<String> command) {
      this.id = id;
      this.port = port;
      this.command = command;
    }
  }

  /** The answer to a client; the status is 0 if there was none. */
  record Answer(int status, String body) {}

  /** The zone of the store, and of the workers that name no other. */
  private static final String PLATFORM_ZONE = "platform";

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Store store = new Store();

  /** The network between failure domains; null if processes reach each other directly. */
  private Network network;

  private int storePort;
  final List<Host> hosts = new CopyOnWriteArrayList<>();
  final Map<String, WorkerProcess> workers = new LinkedHashMap<>();
  final List<Event> events = new CopyOnWriteArrayList<>();
  private final Path root = Path.of("").toAbsolutePath();
  private final Path temp = Files.createTempDirectory("review");
  private final PrintWriter record;
  private final long startedAt = System.currentTimeMillis();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  Lab(String folder) throws IOException {
    record =
        new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    log("trouble " + (trouble ? "on" : "off"));
  }

  /** A part of a case. */
  interface Body {
    /** Returns whether the rule held. */
    boolean run(Lab lab) throws Exception;
  }

  /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if it could not run. */
  static void run(String folder, Body body) {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    int code = 2;
    try (Lab lab = new Lab(folder)) {
      try {
        boolean held = body.run(lab);
        lab.log(held ? "RESULT the rule held" : "RESULT the rule is broken");
        code = held ? 0 : 1;
      } catch (Exception e) {
        lab.log("RESULT could not run: " + e);
        e.printStackTrace();
      }
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  long now() {
    return System.currentTimeMillis();
  }

  synchronized void log(String line) {
    String text = String.format("%7d ms  %s", now() - startedAt, line);
    record.println(text);
    System.out.println(text);
  }

  void sleep(long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis));
  }

  private static final java.util.Set<Integer> TAKEN_PORTS = new java.util.HashSet<>();

  /** Returns a port that is free now, below those that outgoing connections use. */
  static synchronized int freePort() throws IOException {
    for (int attempt = 0; attempt < 1_000; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (TAKEN_PORTS.add(socket.getLocalPort())) {
          return socket.getLocalPort();
        }
      } catch (java.net.BindException e) {
        continue;
      }
    }
    throw new IOException("no free port");
  }

  /**
   * Whether single hosts can be cut off from the other hosts and the store, and not failure domains
   * with their workers.
   */
  boolean cutsHosts;

  private String netZone(String host, String zone) {
    return cutsHosts ? host : zone;
  }

  /** Lets all that is started from now on reach each other through a network that can be cut. */
  Network useNetwork() throws IOException {
    network = new Network();
    storePort = network.expose(port(store.address()), PLATFORM_ZONE);
    return network;
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }

  private String storeAddress() {
    return network == null ? store.address() : "127.0.0.1:" + storePort;
  }

  /** Whether the workers reject what does not fit. */
  boolean guards = true;

  /** Writes a configuration with one queue. */
  void configure(int version, int attempts) {
    store.put(
        "op/config",
        "{\"version\":"
            + version
            + ",\"routes\":[{\"name\":\"r-1\",\"host\":\""
            + HOST_NAME
            + "\",\"prefix\":\""
            + PREFIX
            + "\",\"kind\":\"unsafe\",\"timeoutMs\":30000,\"targetRuntimeMs\":5000,\"priority\":0,"
            + "\"service\":\"limitsvc\",\"attempts\":"
            + attempts
            + ",\"stretch\":1.6}],\"services\":[{\"name\":\"limitsvc\",\"healthPath\":\"/health\","
            + "\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":"
            + guards
            + ","
            + "\"spare\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  }

  /** Logs each event of a worker; off where there are very many. */
  boolean logsEvents = true;

  void startWorker(String id, String zone, String kind, String rack, long cpu, long taskCpu)
      throws IOException {
    int port = freePort();
    List<String> command =
        List.of(
            java(),
            "-Xmx48m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            Path.of(System.getProperty("java.class.path")).toAbsolutePath().toString(),
            "Worker",
            String.valueOf(port),
            id,
            zone,
            kind,
            rack,
            String.valueOf(cpu),
            String.valueOf(taskCpu),
            storeAddress(),
            String.valueOf(HEARTBEAT_MILLIS),
            String.valueOf(
                network == null || cutsHosts ? port : network.expose(port, zone)));
    WorkerProcess worker = new WorkerProcess(id, port, command);
    workers.put(id, worker);
    startProcess(worker);
    if (network != null && !cutsHosts) {
      network.register(worker.process, zone);
    }
  }

  private static String java() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  private synchronized void startProcess(WorkerProcess worker) throws IOException {
    Process process =
        new ProcessBuilder(worker.command)
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    worker.process = process;
    Thread reader = new Thread(() -> readEvents(process));
    reader.setDaemon(true);
    reader.start();
  }

  private void readEvents(Process process) {
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        String[] words = line.split(" ", 4);
        Event event = new Event(Long.parseLong(words[0]), words[1], words[2], words[3]);
        events.add(event);
        if (!logsEvents) {
          continue;
        }
        log(
            "worker "
                + event.worker()
                + " "
                + event.what()
                + " "
                + event.detail()
                + " (at "
                + (event.at() - startedAt)
                + ")");
      }
    } catch (IOException e) {
      log("worker output ended: " + e.getMessage());
    }
  }

  /** Sends a command to a worker. */
  void command(String worker, String line) throws IOException {
    Process process = workers.get(worker).process;
    process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    process.getOutputStream().flush();
  }

  /** Ends a worker's process by SIGKILL, as in a crash, and starts it again after a time. */
  void crash(String id, long downMillis) throws Exception {
    WorkerProcess worker = workers.get(id);
    log("CRASH of worker " + id + ", down for " + downMillis + " ms");
    worker.process.destroyForcibly().waitFor();
    CompletableFuture.delayedExecutor(downMillis, TimeUnit.MILLISECONDS)
        .execute(
            () -> {
              try {
                startProcess(worker);
              } catch (IOException e) {
                log("can't start " + id + ": " + e);
              }
            });
  }

  /** Sends a signal to a process that this lab has started. */
  void signal(Process process, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  /** Starts an entry host with the line of the deploy file. */
  Host startHost(String name, String zone) throws IOException {
    int front = freePort();
    int ready = freePort();
    int peers = freePort();
    int metrics = freePort();
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("node", name);
    fields.put("zone", zone);
    fields.put("listen.front", "127.0.0.1:" + front);
    fields.put("listen.ready", "127.0.0.1:" + ready);
    fields.put("ip", "127.0.0.1");
    fields.put("internalPorts.0", String.valueOf(peers));
    fields.put("internalPorts.1", String.valueOf(metrics));
    fields.put("platform.address", storeAddress());
    fields.put("bounds.holdMaxMs", "1000");
    fields.put("bounds.farX", "1.5");
    fields.put("bounds.status_s", "120");
    fields.put("bounds.graceS", "6");
    fields.put("limits.cpuShare", "0.75");
    fields.put("limits.cores", "1");
    fields.put("limits.linkMbps", "1000.0");
    Path settings = temp.resolve(name + ".jsonc");
    Files.writeString(settings, fill(Files.readString(root.resolve("deploy/settings.jsonc")), fields));
    List<String> command = new ArrayList<>(Arrays.asList(deployLine("run").split(" ")));
    command.replaceAll(
        word -> word.equals("/etc/marjoramhoist/local.yaml") ? settings.toString() : word);
    if (network != null) {
      // Hosts register the address that they listen on. The others have to reach it by the proxy.
      store.translate("127.0.0.1:" + peers, "127.0.0.1:" + network.expose(peers, netZone(name, zone)));
    }
    Host host = new Host(name, zone, front, ready, startHostProcess(name, command), command);
    if (network != null) {
      network.register(host.process(), netZone(name, zone));
    }
    hosts.add(host);
    return host;
  }

  private Process startHostProcess(String name, List<String> command) throws IOException {
    return new ProcessBuilder(command)
        .directory(root.toFile())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()))
        .start();
  }

  /** Starts the process of a host again, at the same addresses. */
  Host restartHost(Host host) throws IOException {
    Process process = startHostProcess(host.name(), host.command());
    Host next =
        new Host(host.name(), host.zone(), host.front(), host.ready(), process, host.command());
    hosts.set(hosts.indexOf(host), next);
    return next;
  }

  private static String fill(String template, Map<String, String> fields) {
    Matcher matcher = Pattern.compile("\\{\\{([A-Za-z_.0-9]+)(\\|json)?}}").matcher(template);
    StringBuilder out = new StringBuilder();
    while (matcher.find()) {
      String value = fields.get(matcher.group(1));
      if (value == null) {
        throw new IllegalStateException("no field " + matcher.group(1));
      }
      boolean isNumber = value.matches("[0-9.]+") && !value.contains(":") && !value.equals("");
      boolean quoted = matcher.group(2) != null && !isNumber;
      matcher.appendReplacement(
          out, Matcher.quoteReplacement(quoted ? Json.quote(value) : value));
    }
    matcher.appendTail(out);
    return out.toString();
  }

  private String deployLine(String name) throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^" + name + " = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!matcher.find()) {
      throw new IOException("the deploy file has no line " + name);
    }
    return matcher.group(1);
  }

  /** Starts the usual hosts, one in each zone, and waits until they and the workers are ready. */
  void startHosts(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      startHost("front-" + (char) ('a' + i) + "-1", "osl-" + (char) ('a' + i));
    }
    awaitReady();
  }

  void awaitReady() throws Exception {
    await("hosts ready", 20_000, () -> hosts.stream().allMatch(this::isReady));
    long workersUp = workers.size();
    await(
        "workers up",
        15_000,
        () -> events.stream().filter(event -> event.what().equals("up")).count() >= workersUp);
    // A leader that has just started gives workers time to report.
    sleep(3_000);
    Host leader = leader();
    log(
        "READY hosts="
            + hosts.size()
            + " workers="
            + workers.size()
            + " leader="
            + (leader == null ? "none" : leader.name()));
  }

  private boolean isReady(Host host) {
    return send(host.ready(), "GET", "/v1/ready", null, 1_000).status() == 200;
  }

  /** Returns the host that the record in the store names. */
  Host leader() {
    String text = store.get("marjoramhoist/leader/0");
    if (text == null) {
      return null;
    }
    String name = Json.text(Json.object(text), "host");
    return hosts.stream().filter(host -> host.name().equals(name)).findFirst().orElse(null);
  }

  /** Returns a host that does not lead, the first or a later one. */
  Host follower(int number) {
    Host leader = leader();
    return hosts.stream().filter(host -> host != leader).skip(number).findFirst().orElseThrow();
  }

  interface Condition {
    boolean holds() throws Exception;
  }

  /** Waits for a condition that the case needs; fails if it does not come true in time. */
  void await(String what, long millis, Condition condition) throws Exception {
    if (!awaitOrGiveUp(millis, condition)) {
      throw new IllegalStateException("not in time: " + what);
    }
  }

  boolean awaitOrGiveUp(long millis, Condition condition) throws Exception {
    long until = now() + millis;
    while (!condition.holds()) {
      if (now() > until) {
        return false;
      }
      sleep(20);
    }
    return true;
  }

  Answer call(Host host, String method, String path, String body, long patienceMillis) {
    if (!logsEvents) {
      return send(host.front(), method, path, body, patienceMillis);
    }
    log("client sends " + method + " " + path + " to " + host.name() + (body == null ? "" : " " + body));
    Answer answer = send(host.front(), method, path, body, patienceMillis);
    log("client got for " + method + " " + path + " from " + host.name() + ": " + answer);
    return answer;
  }

  CompletableFuture<Answer> callLater(
      Host host, String method, String path, String body, long patienceMillis) {
    return CompletableFuture.supplyAsync(
        () -> call(host, method, path, body, patienceMillis),
        task -> {
          Thread thread = new Thread(task);
          thread.setDaemon(true);
          thread.start();
        });
  }

  private Answer send(int port, String method, String path, String body, long patienceMillis) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis(patienceMillis))
            .header("Host", HOST_NAME)
            .header("Content-Type", "application/json")
            .header("X-Marjoramhoist-Deadline-Ms", String.valueOf(patienceMillis))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, e.toString());
    }
  }

  List<Event> find(Predicate<Event> condition) {
    return events.stream().filter(condition).toList();
  }

  /** Returns what happened to a job's runs: starts or ends. */
  List<Event> of(String job, String what) {
    return find(event -> event.what().equals(what) && event.isOf(job));
  }

  /** Returns the runs of a job that have started and not ended, with their starts. */
  List<Event> running(String job) {
    List<String> over = of(job, "end").stream().map(event -> event.worker() + event.run()).toList();
    return of(job, "start").stream()
        .filter(event -> !over.contains(event.worker() + event.run()))
        .toList();
  }

  /** Copies the logs of the hosts beside the record, if the variable KEEP names a folder. */
  private void keepLogs() throws IOException {
    String keep = System.getenv("KEEP");
    if (keep != null) {
      Files.createDirectories(Path.of(keep));
      for (Host host : hosts) {
        Files.copy(
            temp.resolve(host.name() + ".log"),
            Path.of(keep, host.name() + ".log"),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }

  private void endProcesses() {
    List<Process> all = new ArrayList<>();
    hosts.forEach(host -> all.add(host.process()));
    workers.values().forEach(worker -> all.add(worker.process));
    for (Process process : all) {
      process.destroyForcibly();
    }
    for (Process process : all) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    endProcesses();
    try {
      keepLogs();
      try (var files = Files.list(temp)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(temp);
    } catch (IOException e) {
      e.printStackTrace();
    }
    store.close();
    record.close();
  }
}
