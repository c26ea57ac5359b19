package org.marjoramhoist.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {

  @TempDir private Path folder;

  private record Result(ExitCode code, String out, String err) {}

  private static Result run(String... arguments) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
    ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
    System.setOut(new PrintStream(outBytes, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(errBytes, true, StandardCharsets.UTF_8));
    try {
      ExitCode code = Main.run(arguments);
      return new Result(
          code,
          outBytes.toString(StandardCharsets.UTF_8),
          errBytes.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
  }

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("doc.jsonc"), text);
  }

  @Test
  void everyCommandHasHelpWithExample() {
    for (String command :
        List.of(
            "serve",
            "entry",
            "check",
            "apply",
            "get",
            "delete",
            "submit",
            "cancel",
            "status",
            "report",
            "drain",
            "load",
            "experiment",
            "standin",
            "trial",
            "explain",
            "dev")) {
      Result result = run(command, "--help");
      assertThat(result.code).isEqualTo(ExitCode.OK);
      assertWithMessage(command).that(result.out).contains("Example: marjoramhoist " + command);
    }
  }

  @Test
  void acceptsSampleSettingsAndDeclarations() {
    for (String user : List.of("fjordkreditt", "agency")) {
      for (int i = 1; i <= 4; i++) {
        Result result =
            run(
                "check",
                "--settings",
                "examples/" + user + "/host-" + i + ".jsonc",
                "-f",
                "examples/" + user + "/declarations");
        assertWithMessage(result.err).that(result.code).isEqualTo(ExitCode.OK);
      }
    }
  }

  @Test
  void refusesFaultyDeclarationsWithPlaceAndRemedy() throws IOException {
    Map<String, String> faults =
        Map.ofEntries(
            Map.entry("", "doc.jsonc:1: the document is empty"),
            Map.entry("{", "doc.jsonc:1: not valid JSON"),
            Map.entry("[1]", "doc.jsonc:1: [0]: must be an object"),
            Map.entry("{}\n{}", "doc.jsonc:2: more text follows"),
            Map.entry(
                "{\n\"name\": \"\\ud83d\"}", "doc.jsonc:2: not valid JSON: a string has half"),
            Map.entry("{\"\\udc00\": 1}", "a string has half of a surrogate pair"),
            Map.entry("{\"kind\": \"team\"}", "name: is missing"),
            Map.entry("{\"kind\": \"squad\", \"name\": \"a\"}", "use upstream, team or class"),
            Map.entry("{\"kind\": \"team\", \"name\": \"a b\"}", "name holds a character"),
            Map.entry("{\"kind\": \"team\", \"name\": \"\"}", "name must not be empty"),
            Map.entry(
                "{\"kind\": \"team\", \"name\": \"a\", \"kind\": \"team\"}", "not valid JSON"),
            Map.entry(
                "{\"kind\": \"team\", \"name\": \"a\",\n \"spec\": {\"quota\": 1}}",
                "doc.jsonc:2: spec.quota: is not known here; known keys: quotaTasks"),
            Map.entry(
                "{\"kind\": \"team\", \"name\": \"a\", \"spec\": {\"quotaTasks\": \"x\"}}",
                "spec.quotaTasks: must be a whole number, but is string"),
            Map.entry(
                "{\"kind\": \"team\", \"name\": \"a\", \"spec\": {\"quotaTasks\": 0}}",
                "must be from 1 to"),
            Map.entry(
                "{\"kind\": \"team\", \"name\": \"a\", \"spec\": {\"tokenHashes\": [\"x\"]}}",
                "64 hexadecimal digits"),
            Map.entry(
                "{\"kind\": \"class\", \"name\": \"a\", \"spec\": {}}",
                "spec.upstream: is missing"),
            Map.entry(
                "{\"kind\": \"class\", \"name\": \"a\", \"spec\": {\"upstream\": 3}}",
                "spec.upstream: must be a string"),
            Map.entry(
                "{\"kind\": \"upstream\", \"name\": \"a\", \"spec\": {\"workers\": {}}}",
                "must be an array"),
            Map.entry(
                "{\"kind\": \"upstream\", \"name\": \"a\", \"spec\": {\"workers\": [{}]}}",
                "spec.workers[0].name: is missing"),
            Map.entry(
                "{\"kind\": \"upstream\", \"name\": \"a\", \"spec\": {\"workers\": "
                    + "[{\"name\": \"w\", \"address\": \"host:1\", \"domain\": \"d\"}]}}",
                "must be an IP number and a port"),
            Map.entry(
                "{\"kind\": \"team\", \"name\": \"a\", \"version\": -7}", "must be from -1 to"),
            Map.entry("{\"kind\": \"team\", \"name\": \"a\", \"spec\": []}", "must be an object"));
    faults.forEach(
        (text, expected) -> {
          try {
            String file = write(text).toString();
            Result checked = run("check", "-f", file);
            assertWithMessage(text).that(checked.code).isEqualTo(ExitCode.BAD_INPUT);
            assertWithMessage(text).that(checked.err).contains(expected);
            Result applied = run("apply", "-f", file, "--server", "127.0.0.1:1");
            assertWithMessage(text).that(applied.code).isEqualTo(ExitCode.BAD_INPUT);
            assertWithMessage(text).that(applied.err).contains(expected);
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  @Test
  void listsEveryFaultOfSettingsAtOnce() throws IOException {
    Path file = write("{\"host\": \"a b\", \"domain\": \"d\", \"domains\": [\"e\"],\n\"nope\": 1}");
    Result result = run("check", "--settings", file.toString());
    assertThat(result.code).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(result.err).contains(":1: host: must be 1 to 64 letters");
    assertThat(result.err).contains(":1: domain: must be one of domains");
    assertThat(result.err).contains(":2: nope: is not known here");
    assertThat(result.err).contains("store.endpoints: must name at least one endpoint");
  }

  @Test
  void saysThatHostCannotBeReached() throws IOException {
    Path job = write("{\"team\": \"t\", \"class\": \"c\", \"tasks\": [{\"id\": \"a\"}]}");
    Result submitted = run("submit", "-f", job.toString(), "--id", "x", "--server", "127.0.0.1:1");
    assertThat(submitted.code).isEqualTo(ExitCode.UNREACHABLE);
    assertThat(run("status", "--server", "127.0.0.1:1").code).isEqualTo(ExitCode.UNREACHABLE);
  }

  @Test
  void refusesLoadOffLoopback() {
    Result result = run("load", "--server", "10.0.0.1:1", "--team", "t", "--class", "c");
    assertThat(result.code).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(result.err).contains("loopback");
  }
}
