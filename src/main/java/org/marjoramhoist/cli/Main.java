package org.marjoramhoist.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.marjoramhoist.log.Faults;
import org.marjoramhoist.log.Logging;

/**
 * The entry point of the program.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Main {

  private static final String COMMAND = "command";

  private Main() {}

  /** Runs a command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    StandardStreams.useUtf8();
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> Faults.report("thread " + thread.getName(), error));
    System.exit(run(arguments).code());
  }

  /** Runs a command. */
  public static ExitCode run(String... arguments) {
    if (!StandardStreams.areReadable(arguments)) {
      System.err.println(
          "an argument has letters that the environment's charset lacks; set LC_ALL=C.UTF-8");
      return ExitCode.BAD_INPUT;
    }
    Map<String, Command> commands = new LinkedHashMap<>();
    for (Command command : commands()) {
      commands.put(command.name(), command);
    }
    ArgumentParser parser = parser(commands, List.of(arguments));
    try {
      Namespace parsed = parser.parseArgs(arguments);
      Command command = commands.get(parsed.getString(COMMAND));
      if (!command.configuresLogging()) {
        Logging.configure(parsed.getString("log_format"), parsed.getString("log_level"));
      }
      return command.run(parsed);
    } catch (HelpScreenException e) {
      return ExitCode.OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e, new PrintWriter(System.err, true, StandardCharsets.UTF_8));
      return ExitCode.BAD_INPUT;
    } catch (CommandFailure e) {
      System.err.println(e.getMessage());
      return e.exitCode();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    } catch (Exception | Error e) {
      System.err.println("fault of the program: " + e);
      return ExitCode.FAILED;
    }
  }

  private static List<Command> commands() {
    return List.of(
        new ServeCommand(),
        new EntryCommand(),
        new CheckCommand(),
        new ApplyCommand(),
        new GetCommand(),
        new DeleteCommand(),
        new SubmitCommand(),
        new CancelCommand(),
        new StatusCommand(),
        new ReportCommand(),
        new DrainCommand(),
        new LoadCommand(),
        new ExperimentCommand(),
        new StandInCommand(),
        new TrialCommand(),
        new ExplainCommand(),
        new DevCommand());
  }

  /** Returns the parser; only commands that are named get their arguments, which saves time. */
  private static ArgumentParser parser(Map<String, Command> commands, List<String> arguments) {
    ArgumentParser parser =
        ArgumentParsers.newFor("marjoramhoist")
            // Detection starts a process.
            .terminalWidthDetection(false)
            .build()
            .description("Dispatches sub-second tasks from callers to upstreams.")
            .epilog(
                "Exit codes: 0 done, 1 failed, 2 bad input, 3 unreachable, 4 conflict,"
                    + " 5 bound missed.");
    parser
        .addArgument("--log-format")
        .choices("text", "json")
        .setDefault("text")
        .help("form of log events");
    parser
        .addArgument("--log-level")
        .choices("debug", "info", "warn", "error")
        .setDefault("info")
        .help("least level of log events");
    Subparsers subparsers = parser.addSubparsers().dest(COMMAND).metavar("COMMAND");
    for (Command command : commands.values()) {
      Subparser sub =
          subparsers
              .addParser(command.name())
              .help(command.summary())
              .description(command.summary())
              .epilog("Example: " + command.example());
      if (arguments.contains(command.name())) {
        command.declare(sub);
      }
    }
    return parser;
  }
}
