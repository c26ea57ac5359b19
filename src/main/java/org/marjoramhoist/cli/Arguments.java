package org.marjoramhoist.cli;

import java.io.IOException;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.marjoramhoist.json.Utf8;

/**
 * Arguments that several commands share.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Arguments {

  static final String DEFAULT_CALLERS = "127.0.0.1:7100";
  static final String DEFAULT_OPERATORS = "127.0.0.1:7200";

  private Arguments() {}

  static void addOperator(ArgumentParser parser) {
    addServer(parser, DEFAULT_OPERATORS, "a host's listener for operators");
  }

  static void addCaller(ArgumentParser parser) {
    addServer(parser, DEFAULT_CALLERS, "a host's listener for callers");
  }

  private static void addServer(ArgumentParser parser, String address, String what) {
    parser.addArgument("--server").setDefault(address).help(what + " (default: " + address + ")");
    parser
        .addArgument("--token-file")
        .help("a file that holds the bearer token; it is never given on the command line");
  }

  static void addOutput(ArgumentParser parser, String... formats) {
    parser
        .addArgument("-o", "--output")
        .choices(formats)
        .setDefault(formats[0])
        .help("form of the output (default: " + formats[0] + ")");
  }

  /** Returns a client of the server that the arguments name. */
  static HostClient client(Namespace arguments) throws CommandFailure {
    String file = arguments.getString("token_file");
    String token = file == null ? "" : read(Path.of(file)).strip();
    return new HostClient(arguments.getString("server"), token);
  }

  /** Reads a file; one that can't be read is bad input. */
  static String read(Path file) throws CommandFailure {
    try {
      return Utf8.read(file);
    } catch (IOException e) {
      throw new CommandFailure(ExitCode.BAD_INPUT, "can't read " + file + ": " + e.getMessage());
    }
  }
}
