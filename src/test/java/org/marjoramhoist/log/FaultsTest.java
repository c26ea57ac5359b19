package org.marjoramhoist.log;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Failures of tasks, in this process and in one of their own. */
class FaultsTest {

  /** Fails as told, and ends with 0 if it still runs after that. */
  static final class Victim {
    /** Reports a failure and ends. */
    public static void main(String[] arguments) {
      Faults.contain(
          "a test",
          () -> {
            throw arguments[0].equals("memory")
                ? new OutOfMemoryError("a test")
                : new StackOverflowError("a test");
          });
    }
  }

  private static void assertEnds(String failure, int exitCode, String text) throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Victim.class.getName(),
                failure)
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(output).contains(text);
    assertThat(process.exitValue()).isEqualTo(exitCode);
  }

  @Test
  void processEndsAfterLackOfMemoryAndSaysSo() throws Exception {
    assertEnds("memory", Faults.EXIT_CODE, "a test java.lang.OutOfMemoryError");
  }

  @Test
  void processGoesOnAfterStackOverflowAndSaysSo() throws Exception {
    assertEnds("stack", 0, "StackOverflowError: a test");
  }
}
