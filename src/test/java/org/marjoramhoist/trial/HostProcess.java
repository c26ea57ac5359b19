package org.marjoramhoist.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.marjoramhoist.cli.Main;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.http.RawCaller;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.standin.PlatformStoreStandIn;
import org.marjoramhoist.platform.standin.PlatformWorkerStandIn;
import org.marjoramhoist.platform.standin.SampleDocuments;

/**
 * An entry host as a process of its own, with the Java options of the deploy file but for a smaller
 * heap, and stand-ins for the store and two workers in the test's process.
 *
 * <p>Reads what Linux tells of a process. Confined to one thread.
 */
final class HostProcess implements AutoCloseable {

  /** A job's body that tells that it has succeeded. */
  static final String SUCCEEDED = "{\"state\":\"succeeded\"}";

  private static final String LOOPBACK_PREFIX = "127.0.0.1:";
  private static final String UPSTREAM = "reviews";
  private static final long READY_SECONDS = 30;
  private static final long POLL_MILLIS = 50;
  private static final Resources CAPACITY = new Resources(8_000, 8_192, 0);
  private static final Resources TASK = new Resources(1_000, 64, 0);

  private final PlatformStoreStandIn store = new PlatformStoreStandIn(LOOPBACK_PREFIX + 0);
  private final List<PlatformWorkerStandIn> workers = new ArrayList<>();
  private final List<Integer> ports = LoopbackPorts.free(4);
  private final Path log;
  private final List<String> command;
  private Process process;
  private int jobs;

  /**
   * Starts a host and waits until it serves a job.
   *
   * @param directory takes its settings and its log
   * @param heapMib the bound of its heap
   * @param descriptors the bound of its open descriptors
   */
  HostProcess(Path directory, int heapMib, int descriptors)
      throws IOException, InterruptedException {
    this(directory, heapMib, descriptors, TASK);
  }

  /**
   * Starts a host and waits until it serves a job.
   *
   * @param directory takes its settings and its log
   * @param heapMib the bound of its heap
   * @param descriptors the bound of its open descriptors
   * @param task what each task takes of a worker
   */
  HostProcess(Path directory, int heapMib, int descriptors, Resources task)
      throws IOException, InterruptedException {
    SampleDocuments.putConfig(
        store, 1, PlatformCluster.AUTHORITY, PlatformCluster.PATH_PREFIX, UPSTREAM);
    RecordingObserver observer = new RecordingObserver();
    for (String name : List.of("worker-0", "worker-1")) {
      WorkerInfo info =
          new WorkerInfo(name, UPSTREAM, "", "dev", CAPACITY, "a", "rack-1", Set.of("a"), false, 1);
      PlatformWorkerStandIn worker = new PlatformWorkerStandIn(info, task, observer);
      workers.add(worker);
      SampleDocuments.putWorker(store, name, worker);
    }
    log = directory.resolve("host.log");
    command = command(directory, heapMib, descriptors);
    process = start();
    awaitServing();
  }

  private Process start() throws IOException {
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }

  /** Ends the process without a chance to say so, and waits until another one serves a job. */
  void replace() throws IOException, InterruptedException {
    process.destroyForcibly().waitFor();
    process = start();
    awaitServing();
  }

  private List<String> command(Path directory, int heapMib, int descriptors) throws IOException {
    Path settings = Files.writeString(directory.resolve("settings.json"), settings());
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    List<String> plain =
        List.of(
            java,
            "-Xmx" + heapMib + "m",
            "-Xss512k",
            "-XX:-UseContainerSupport",
            "-XX:-UsePerfData",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:+ExitOnOutOfMemoryError",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "--log-format",
            "json",
            "entry",
            "--settings",
            settings.toString());
    List<String> limited = new ArrayList<>();
    limited.addAll(List.of("sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh"));
    limited.addAll(plain);
    return limited;
  }

  private String settings() {
    Map<String, Object> listen =
        Map.of(
            "callers", callers(),
            "ready", ready(),
            "peers", peers(),
            "metrics", metrics());
    return JsonText.of(
        Map.of(
            "host",
            "host-0",
            "failureDomain",
            "dev",
            "listen",
            listen,
            "store",
            store.address(),
            "limits",
            Map.of("processorShare", 1, "linkMbps", 1_000)));
  }

  private void awaitServing() throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    while (process.isAlive() && System.nanoTime() < deadline) {
      try {
        if (submitJob().status() == 200) {
          return;
        }
      } catch (IOException e) {
        Thread.onSpinWait();
      }
      Thread.sleep(POLL_MILLIS);
    }
    close();
    throw new IllegalStateException("the host does not serve: " + logText());
  }

  /** Returns {@code IP:port} of the listener for callers. */
  String callers() {
    return LOOPBACK_PREFIX + ports.get(0);
  }

  /** Returns {@code IP:port} of the listener for readiness checks. */
  String ready() {
    return LOOPBACK_PREFIX + ports.get(1);
  }

  /** Returns {@code IP:port} of the listener for other hosts. */
  String peers() {
    return LOOPBACK_PREFIX + ports.get(2);
  }

  /** Returns {@code IP:port} of the listener for metrics. */
  String metrics() {
    return LOOPBACK_PREFIX + ports.get(3);
  }

  /** Returns the path of a job that was not named before. */
  String nextJobPath() {
    return PlatformCluster.PATH_PREFIX + String.format(Locale.ROOT, "%016x", ++jobs);
  }

  /** Submits a short job over a new connection and returns the response. */
  RawCaller.Response submitJob() throws IOException {
    try (RawCaller caller = new RawCaller(callers())) {
      caller.send(ordinaryRequest());
      return caller.receive();
    }
  }

  /** Returns the bytes of a request that submits a short job. */
  byte[] ordinaryRequest() {
    String fields = "Content-Type: application/json\r\nX-Marjoramhoist-Deadline-Ms: 15000\r\n";
    return RawCaller.request(
        "POST", PlatformCluster.AUTHORITY, nextJobPath(), fields, PlatformCluster.job(1, 20));
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the most memory that the process has had resident, in MiB. */
  int peakMib() throws IOException {
    try (Stream<String> lines = Files.lines(procPath("status"))) {
      String line = lines.filter(each -> each.startsWith("VmHWM:")).findFirst().orElseThrow();
      return Integer.parseInt(line.replaceAll("\\D", "")) / 1_024;
    }
  }

  /** Returns the number of descriptors that the process has open; 0 if it has ended. */
  int openDescriptors() {
    try (Stream<Path> files = Files.list(procPath("fd"))) {
      return (int) files.count();
    } catch (IOException e) {
      // The process has ended.
      return 0;
    }
  }

  private Path procPath(String name) {
    return Path.of("/proc", String.valueOf(process.pid()), name);
  }

  /** Returns what the process has logged. */
  String logText() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
    process.onExit().join();
    workers.forEach(PlatformWorkerStandIn::close);
    store.close();
  }
}
