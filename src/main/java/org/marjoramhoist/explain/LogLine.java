package org.marjoramhoist.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;
import org.marjoramhoist.json.JsonText;

/**
 * One event of a host's log.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host what the event came from: the word before the event on its line, or else the file
 * @param time when it was written, on that host's clock
 * @param event the name of the event
 * @param detail its details
 */
public record LogLine(String host, Instant time, String event, String detail) {

  private static final String JOB = "job=";

  /**
   * Reads a line.
   *
   * @param source names the file
   * @return the event; empty if the line holds none
   */
  public static Optional<LogLine> parse(String source, String line) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode node = JsonText.MAPPER.readTree(line.substring(start));
      if (!node.path("event").isTextual()) {
        return Optional.empty();
      }
      return Optional.of(
          new LogLine(
              hostOf(source, line.substring(0, start)),
              Instant.parse(node.path("time").asText()),
              node.path("event").asText(),
              node.path("detail").asText()));
    } catch (JsonProcessingException | DateTimeException e) {
      return Optional.empty();
    }
  }

  private static String hostOf(String source, String before) {
    String[] words = before.trim().split("\\s+");
    String last = words[words.length - 1];
    return last.isEmpty() ? source : last;
  }

  /** Returns the id of the job that the event is about; empty if it is about none. */
  Optional<String> job() {
    for (String each : detail.split("\\s+")) {
      if (each.startsWith(JOB)) {
        return Optional.of(each.substring(JOB.length()));
      }
    }
    return Optional.empty();
  }
}
