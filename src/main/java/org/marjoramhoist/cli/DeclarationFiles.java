package org.marjoramhoist.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Finds declaration files.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class DeclarationFiles {

  private DeclarationFiles() {}

  /** Returns the file itself, or the JSON files of a directory in the order of their names. */
  static List<Path> under(Path path) throws CommandFailure {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> files = Files.walk(path)) {
      return files.filter(DeclarationFiles::isDeclaration).sorted().toList();
    } catch (IOException e) {
      throw new CommandFailure(ExitCode.BAD_INPUT, "can't read " + path + ": " + e.getMessage());
    }
  }

  private static boolean isDeclaration(Path file) {
    String name = file.getFileName().toString();
    return name.endsWith(".json") || name.endsWith(".jsonc");
  }
}
