package org.marjoramhoist.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** A process that gets SIGHUP reads its settings again and stays. */
class HangupSignalTest {

  /** Prints a line at each signal, and ends after the second. */
  public static final class Program {
    /** Runs the program. */
    public static void main(String[] arguments) throws Exception {
      CountDownLatch twice = new CountDownLatch(2);
      HangupSignal.onHangup(
          () -> {
            System.out.println("again");
            twice.countDown();
          });
      System.out.println("ready");
      twice.await();
    }
  }

  @Test
  void staysThroughHangups() throws IOException, InterruptedException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Process process =
        new ProcessBuilder(
                java, "-cp", System.getProperty("java.class.path"), Program.class.getName())
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    try (BufferedReader out = process.inputReader()) {
      assertThat(out.readLine()).isEqualTo("ready");
      hangUp(process);
      assertThat(out.readLine()).isEqualTo("again");
      hangUp(process);
      assertThat(out.readLine()).isEqualTo("again");
      assertThat(process.waitFor()).isEqualTo(0);
    } finally {
      process.destroyForcibly();
    }
  }

  private static void hangUp(Process process) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor();
  }
}
