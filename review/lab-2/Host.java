import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry host, run as a process of its own with the line of the deploy file. */
final class Host {

  private static final List<Process> STARTED = new ArrayList<>();
  private static boolean over;

  /** Ends all processes that were started, and lets none start any more. */
  static void endAll() {
    synchronized (STARTED) {
      over = true;
      STARTED.forEach(Process::destroyForcibly);
    }
  }

  final String name;
  final String zone;
  final int front = Net.freePort();
  private final int ready = Net.freePort();
  private final int peers = Net.freePort();
  private final int metrics = Net.freePort();
  private final int storePort;
  private final Path folder;
  private final Judge judge;
  volatile Process process;
  volatile boolean stopped;
  volatile long downSince;

  Host(String name, String zone, int storePort, Path folder, Judge judge) {
    this.name = name;
    this.zone = zone;
    this.storePort = storePort;
    this.folder = folder;
    this.judge = judge;
  }

  private String settings() throws IOException {
    String text = Files.readString(Path.of("deploy/settings.jsonc"));
    Map<String, String> values = Map.ofEntries(
        Map.entry("node|json", Net.quote(name)),
        Map.entry("zone|json", Net.quote(zone)),
        Map.entry("listen.front|json", Net.quote("127.0.0.1:" + front)),
        Map.entry("listen.ready|json", Net.quote("127.0.0.1:" + ready)),
        Map.entry("ip", "127.0.0.1"),
        Map.entry("internalPorts.0", "" + peers),
        Map.entry("internalPorts.1", "" + metrics),
        Map.entry("platform.address|json", Net.quote("127.0.0.1:" + storePort)),
        Map.entry("bounds.holdMaxMs", "1000"),
        Map.entry("bounds.farX", "1.5"),
        Map.entry("bounds.status_s", "120"),
        Map.entry("bounds.graceS", "6"),
        Map.entry("limits.cpuShare", "0.75"),
        Map.entry("limits.cores", "1"),
        Map.entry("limits.linkMbps", "1000.0"));
    Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(text);
    StringBuilder out = new StringBuilder();
    while (matcher.find()) {
      String value = values.get(matcher.group(1));
      if (value == null) {
        throw new IOException("no value for " + matcher.group(1));
      }
      matcher.appendReplacement(out, Matcher.quoteReplacement(value));
    }
    return matcher.appendTail(out).toString();
  }

  private List<String> command(Path settings) throws IOException {
    Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!line.find()) {
      throw new IOException("no line 'run' in the deploy file");
    }
    List<String> words = new ArrayList<>(List.of(line.group(1).split(" ")));
    words.replaceAll(word -> word.equals("/etc/marjoramhoist/local.yaml") ? settings.toString() : word);
    return words;
  }

  void start() throws IOException {
    Path settings = folder.resolve(name + ".jsonc");
    Files.writeString(settings, settings());
    File log = folder.resolve(name + ".log").toFile();
    synchronized (STARTED) {
      if (over) {
        throw new IOException("the case is over");
      }
      process = new ProcessBuilder(command(settings))
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
          .start();
      STARTED.add(process);
    }
    stopped = false;
    downSince = 0;
    judge.disturbedAt.put(name, Judge.now());
    judge.log("host " + name + " starts, process " + process.pid());
  }

  private void signal(String signal) throws IOException {
    judge.disturbedAt.put(name, Judge.now());
    judge.log("host " + name + " gets SIG" + signal);
    try {
      new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  void kill() throws IOException {
    signal("KILL");
    downSince = Judge.now();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  void terminate() throws IOException {
    signal("TERM");
    downSince = Judge.now();
  }

  void freeze() throws IOException {
    stopped = true;
    signal("STOP");
  }

  void thaw() throws IOException {
    signal("CONT");
    stopped = false;
  }

  boolean isReady() {
    return process != null && process.isAlive() && !stopped && Net.call(ready, "GET", "/v1/ready", "x", "", 500).status() == 200;
  }

  String metrics() {
    return Net.call(metrics, "GET", "/metrics", "x", "", 1000).body();
  }

  boolean leads() {
    if (process == null || !process.isAlive() || stopped) {
      return false;
    }
    for (String line : metrics().split("\n")) {
      if (line.startsWith("marjoramhoist_leader") && line.trim().endsWith("1.0")) {
        return true;
      }
    }
    return false;
  }
}
