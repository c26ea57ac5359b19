package org.marjoramhoist.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramhoist.platform.standin.SampleDocuments;

/** Commands as processes of their own, in an environment that names no language. */
class StandardStreamsTest {

  /** What Java reads in place of a letter that the environment's charset lacks. */
  private static final String UNREADABLE = Character.toString(0xFFFD);

  @TempDir private Path folder;

  private record Result(int code, String output) {}

  private static Result run(String command, String argument) throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                command,
                "-f",
                argument)
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new Result(process.waitFor(), output);
  }

  /** Guards against output, JSON and CSV too, that has lost every letter beyond ASCII. */
  @Test
  void writesUtf8WhateverTheEnvironment() throws Exception {
    String letters = SampleDocuments.LETTERS;
    String declaration = "{\"kind\": \"team\", \"name\": \"a\", \"" + letters + "\": 1}";
    Path file = Files.writeString(folder.resolve("doc.jsonc"), declaration);
    Result result = run("check", file.toString());
    assertThat(result.output()).contains(letters);
    assertThat(result.code()).isEqualTo(ExitCode.BAD_INPUT.code());
  }

  /** Guards against commands that act on another name than the one that was typed. */
  @Test
  void refusesArgumentsThatTheEnvironmentCannotHold() throws IOException {
    assertThat(Main.run("check", "-f", UNREADABLE + "se.jsonc")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(StandardStreams.areReadable(new String[] {"check", "-f", "Åse"})).isTrue();
    assertThat(StandardStreams.areReadable(new String[] {"get", "team", UNREADABLE + "se"}))
        .isFalse();
  }
}
