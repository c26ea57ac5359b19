package org.marjoramhoist.docs;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.cli.ExitCode;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.model.ErrorKind;

/** The tables of the pages against the code. */
class DocsTest {

  private static Map<String, String> rows(String page, String pattern) throws IOException {
    Map<String, String> rows = new TreeMap<>();
    Matcher matcher =
        Pattern.compile(pattern, Pattern.MULTILINE).matcher(Files.readString(Path.of(page)));
    while (matcher.find()) {
      rows.put(matcher.group(1), matcher.group(2));
    }
    return rows;
  }

  @Test
  void errorsPageListsEveryKind() throws IOException {
    Map<String, String> expected = new TreeMap<>();
    for (ErrorKind kind : ErrorKind.values()) {
      String retry = kind.retryable() ? "yes" : "no";
      expected.put(kind.name(), kind.httpStatus() + " | " + kind.runState().name() + " | " + retry);
    }
    assertThat(rows("docs/ERRORS.md", "^\\| `([A-Z_]+)` \\| (\\d+ \\| [A-Z_]+ \\| \\w+) \\|"))
        .isEqualTo(expected);
  }

  @Test
  void eventsPageListsEveryEvent() throws IOException {
    Map<String, String> expected = new TreeMap<>();
    for (LogEvent event : LogEvent.values()) {
      expected.put(String.valueOf(event.code()), event.name());
    }
    assertThat(rows("docs/EVENTS.md", "^\\| (\\d{4}) \\| `([A-Z_]+)` \\|")).isEqualTo(expected);
  }

  @Test
  void cliPageListsEveryExitCode() throws IOException {
    Map<String, String> expected = new TreeMap<>();
    for (ExitCode code : ExitCode.values()) {
      expected.put(String.valueOf(code.code()), code.name());
    }
    assertThat(rows("docs/CLI.md", "^\\| (\\d) \\| `([A-Z_]+)` \\|")).isEqualTo(expected);
  }
}
