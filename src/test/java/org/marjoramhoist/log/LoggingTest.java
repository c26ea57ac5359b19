package org.marjoramhoist.log;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LifeCycle;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.impl.Log4jContextFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.standin.SampleDocuments;

class LoggingTest {

  @AfterEach
  void restore() {
    Logging.configure("text", "info");
  }

  @Test
  void goesOnWhileTheProcessShutsDown() {
    Logging.configure("text", "info");
    LoggerContext context = (LoggerContext) LogManager.getContext(false);
    assertThat(context.getConfiguration().isShutdownHookEnabled()).isFalse();
    Log4jContextFactory factory = (Log4jContextFactory) LogManager.getFactory();
    LifeCycle hook = (LifeCycle) factory.getShutdownCallbackRegistry();
    assertThat(hook.isStarted()).isFalse();
  }

  /** Returns the one line that is logged as JSON meanwhile. */
  private static JsonNode logged(Runnable action) throws Exception {
    PrintStream before = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      Logging.configure("json", "info");
      action.run();
    } finally {
      System.setErr(before);
    }
    String text = bytes.toString(StandardCharsets.UTF_8);
    assertThat(text.strip().lines().count()).isEqualTo(1);
    return JsonText.MAPPER.readTree(text);
  }

  @Test
  void writesErrorsOfLibrariesWithTheirMessage() throws Exception {
    JsonNode line = logged(() -> LogManager.getLogger("some.library").error("it \"broke\""));
    assertThat(line.path("code").asInt()).isEqualTo(LogEvent.INTERNAL_FAULT.code());
    assertThat(line.path("detail").asText()).isEqualTo("some.library it \"broke\"");
    assertThat(line.path("unixMillis").asLong()).isGreaterThan(0);
  }

  /** Guards against log lines that have lost the names they tell of, and hide the cause. */
  @Test
  void keepsLettersWhateverTheDefaultCharset() throws Exception {
    String text = SampleDocuments.LETTERS;
    JsonNode event = logged(() -> EventLog.info(LogEvent.STORE_UP, "host={}", text));
    assertThat(event.path("detail").asText()).isEqualTo("host=" + text);
    JsonNode error = logged(() -> LogManager.getLogger("some.library").error(text));
    assertThat(error.path("detail").asText()).isEqualTo("some.library " + text);
  }

  @Test
  void writesEventAsOneJsonObjectPerLine() throws Exception {
    JsonNode event = logged(() -> EventLog.info(LogEvent.STORE_UP, "a \"quoted\"\nline {}", 7));
    assertThat(event.path("time").asText()).matches("\\d{4}-\\d\\d-\\d\\dT[\\d:]{8}[.]\\d{3}Z");
    assertThat(event.path("code").asInt()).isEqualTo(LogEvent.STORE_UP.code());
    assertThat(event.path("event").asText()).isEqualTo("STORE_UP");
    assertThat(event.path("detail").asText()).isEqualTo("a \"quoted\"\nline 7");
  }

  /** Blocks every write until it is let go. */
  private static final class BlockedStream extends OutputStream {
    private final CountDownLatch open = new CountDownLatch(1);

    @Override
    public void write(int b) {
      try {
        open.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Test
  void goesOnWhileNobodyReadsStandardOutput() {
    PrintStream before = System.out;
    BlockedStream blocked = new BlockedStream();
    System.setOut(new PrintStream(blocked, true, StandardCharsets.UTF_8));
    try {
      Logging.configure("json", "info", Logging.Target.STANDARD_OUTPUT_QUEUED);
      for (int i = 0; i < 20_000; i++) {
        EventLog.info(LogEvent.STORE_UP, "line {}", i);
      }
    } finally {
      blocked.open.countDown();
      System.setOut(before);
    }
  }
}
