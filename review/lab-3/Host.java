import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** An entry host: the project's own program, started with the line of the deploy file. */
final class Host {

  private static final String SETTINGS_IN_DEPLOY_FILE = "/etc/marjoramhoist/local.yaml";

  final String name;
  final String zone;
  final String address;
  private final String front;
  final String ready;
  private final String peers;
  private final String metrics;
  private final Path folder;
  private final Path settings;
  private final String store;
  volatile Process process;
  int starts;
  private boolean ended;

  /** The value of LANG that the process gets; null for none. */
  String lang = System.getenv("LANG");

  Host(String name, String zone, String address, String store, Path folder) throws IOException {
    this.name = name;
    this.zone = zone;
    this.address = address;
    this.store = store;
    this.folder = folder;
    this.front = address + ":" + StandInHttp.freePort(address);
    this.ready = address + ":" + StandInHttp.freePort(address);
    this.peers = address + ":" + StandInHttp.freePort(address);
    this.metrics = address + ":" + StandInHttp.freePort(address);
    this.settings = folder.resolve(name + ".jsonc");
    Files.writeString(settings, fill(Files.readString(Path.of("deploy/settings.jsonc"))));
  }

  /** Fills in the template as the platform does for a small deployment. */
  private String fill(String template) {
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("{{node|json}}", '"' + name + '"'),
            Map.entry("{{zone|json}}", '"' + zone + '"'),
            Map.entry("{{listen.front|json}}", '"' + front + '"'),
            Map.entry("{{listen.ready|json}}", '"' + ready + '"'),
            Map.entry("{{ip}}:{{internalPorts.0}}", peers),
            Map.entry("{{ip}}:{{internalPorts.1}}", metrics),
            Map.entry("{{platform.address|json}}", '"' + store + '"'),
            Map.entry("{{bounds.holdMaxMs}}", "1000"),
            Map.entry("{{bounds.farX}}", "1.5"),
            Map.entry("{{bounds.status_s}}", "120"),
            Map.entry("{{bounds.graceS}}", "6"),
            Map.entry("{{limits.cpuShare}}", "0.75"),
            Map.entry("{{limits.cores}}", "1"),
            Map.entry("{{limits.linkMbps}}", "1000.0"),
            Map.entry("{{limits.maxFds}}", "4100"));
    String filled = template;
    for (Map.Entry<String, String> each : values.entrySet()) {
      filled = filled.replace(each.getKey(), each.getValue());
    }
    if (filled.contains("{{")) {
      throw new IllegalStateException("no value for a placeholder of deploy/settings.jsonc");
    }
    return filled;
  }

  String front() {
    return front;
  }

  /** Starts the process with the deploy file's line, but for the path of the settings; not after the end. */
  synchronized void start() throws IOException {
    if (ended) {
      return;
    }
    String run =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow()
            .replaceAll("^run = \"|\"$", "")
            .replace(SETTINGS_IN_DEPLOY_FILE, settings.toString());
    starts++;
    ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.split(" "))));
    // A process gets no other variables from the platform.
    builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME"));
    if (lang != null) {
      builder.environment().put("LANG", lang);
    }
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** SIGKILL. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(10, TimeUnit.SECONDS);
  }

  /** Ends the process for good: whoever starts it again later starts nothing. */
  synchronized void end() {
    ended = true;
    if (process != null) {
      process.destroyForcibly();
      process.onExit().orTimeout(10, TimeUnit.SECONDS).exceptionally(error -> null).join();
    }
  }

  /** SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Sends a signal by its name to this process alone. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  Path log() {
    return folder.resolve(name + ".log");
  }

  boolean isReady() {
    Caller.Answer answer = Caller.call(ready, "GET", "/v1/ready", "x", "", 500, 500);
    return answer.status() == 200;
  }

  /** Returns whether the metrics of the host say that it leads. */
  boolean leads() {
    Caller.Answer answer = Caller.call(metrics, "GET", "/metrics", "x", "", 800, 800);
    return answer.body().lines().anyMatch(line -> line.startsWith("marjoramhoist_leader 1"));
  }
}
