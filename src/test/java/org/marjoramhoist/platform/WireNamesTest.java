package org.marjoramhoist.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that only the platform package contains the platform's wire names. */
class WireNamesTest {

  private static final Pattern WIRE_NAMES =
      Pattern.compile(
          "/v1/(run-|hold|kv-|advise|pace|machine|ready)|X-Marjoramhoist|\"op/|\"servers/|evacuate"
              + "|\"(seenUpto|expectedRev|clockMs|deadlineMs|waitMs|memMb|estimateMs"
              + "|bestEffort|preferredRack|maxPerServer|targetRuntimeMs|rejectsOverload"
              + "|warmupLeftMs)\"");

  private static List<String> findWireNames(Path file) {
    try {
      List<String> found = new ArrayList<>();
      Matcher matcher = WIRE_NAMES.matcher(Files.readString(file));
      while (matcher.find()) {
        found.add(file + ": " + matcher.group());
      }
      return found;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<Path> sources(boolean inPlatform) throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      return files
          .filter(file -> file.toString().endsWith(".java"))
          .filter(file -> file.toString().contains("/platform/") == inPlatform)
          .toList();
    }
  }

  @Test
  void otherPackagesContainNoWireNames() throws IOException {
    List<String> found = new ArrayList<>();
    sources(false).forEach(file -> found.addAll(findWireNames(file)));
    assertThat(found).isEmpty();
  }

  @Test
  void patternMatchesNamesInPlatformPackage() throws IOException {
    List<String> found = new ArrayList<>();
    sources(true).forEach(file -> found.addAll(findWireNames(file)));
    assertThat(found.size()).isAtLeast(10);
  }
}
