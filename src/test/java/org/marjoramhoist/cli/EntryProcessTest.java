package org.marjoramhoist.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.standin.PlatformStoreStandIn;

/** The process of an entry host while signals come. */
class EntryProcessTest {

  private static final String LOOPBACK_PREFIX = "127.0.0.1:";

  /** The exit code of a process that SIGTERM ended, as shells tell it. */
  private static final int TERMINATED = 143;

  @TempDir Path directory;

  @Test
  void secondSignalToEndDoesNotCutTheStopShort() throws IOException, InterruptedException {
    try (PlatformStoreStandIn store = new PlatformStoreStandIn(LOOPBACK_PREFIX + 0)) {
      Process process = startHost(store.address());
      try (BufferedReader out = process.inputReader()) {
        readUntil(out, "PROCESS_STARTED");
        signal("-HUP", process);
        signal("-TERM", process);
        readUntil(out, "PROCESS_STOPPING");
        signal("-TERM", process);
        signal("-HUP", process);
        assertThat(readUntil(out, "REQUESTS_AT_STOP")).contains("open=0");
        readUntil(out, "PROCESS_STOPPED");
        assertThat(process.waitFor()).isEqualTo(TERMINATED);
      } finally {
        process.destroyForcibly();
      }
    }
  }

  private static String readUntil(BufferedReader out, String event) throws IOException {
    String line = out.readLine();
    while (line != null && !line.contains(event)) {
      line = out.readLine();
    }
    assertWithMessage(event).that(line).isNotNull();
    return line;
  }

  private Process startHost(String store) throws IOException {
    List<Integer> ports = LoopbackPorts.free(3);
    Map<String, Object> listen =
        Map.of(
            "callers", LOOPBACK_PREFIX + ports.get(0),
            "ready", LOOPBACK_PREFIX + ports.get(1),
            "peers", LOOPBACK_PREFIX + ports.get(2));
    Map<String, Object> settings =
        Map.of(
            "host",
            "host-0",
            "failureDomain",
            "dev",
            "listen",
            listen,
            "store",
            store,
            "farFactor",
            1.5,
            "drainSeconds",
            6,
            "limits",
            Map.of("processorShare", 1, "linkMbps", 1_000));
    Path file = Files.writeString(directory.resolve("settings.json"), JsonText.of(settings));
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    return new ProcessBuilder(
            java,
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "entry",
            "--settings",
            file.toString())
        .redirectError(ProcessBuilder.Redirect.INHERIT)
        .start();
  }

  private static void signal(String name, Process process)
      throws IOException, InterruptedException {
    new ProcessBuilder("kill", name, String.valueOf(process.pid())).start().waitFor();
  }
}
