package org.marjoramhoist.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.entry.EntryNode;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.log.Logging;

/** Runs an entry host on the platform until it is told to stop. */
final class EntryCommand implements Command {

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public String summary() {
    return "Run an entry host on the platform; SIGTERM stops it without cutting a request short.";
  }

  @Override
  public String example() {
    return "marjoramhoist entry --settings deploy/example.jsonc";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--settings").required(true).help("the settings file");
  }

  @Override
  public boolean configuresLogging() {
    return true;
  }

  @Override
  public ExitCode run(Namespace arguments) throws Exception {
    Path file = Path.of(arguments.getString("settings"));
    NodeSettings settings = settings(file);
    Logging.configure(
        arguments.getString("log_format"),
        settings.logLevel(),
        Logging.Target.STANDARD_OUTPUT_QUEUED);
    EntryNode node;
    try {
      HangupSignal.onHangup(() -> reload(file, settings));
      node = EntryNode.start(settings);
    } catch (IOException | RuntimeException | ReflectiveOperationException e) {
      throw new CommandFailure(ExitCode.FAILED, "can't start: " + e.getMessage());
    }
    Thread hook =
        new Thread(
            () -> {
              node.drain();
              node.close();
              Logging.finish();
            },
            "shutdown");
    Runtime.getRuntime().addShutdownHook(hook);
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }

  /** Reads the settings again; what can only be set at the start stays as it is. */
  private static void reload(Path file, NodeSettings inForce) {
    try {
      NodeSettings next = NodeSettings.load(file);
      boolean same = next.equals(inForce);
      EventLog.info(
          LogEvent.SETTINGS_READ, "file={} result={}", file, same ? "same" : "needs a restart");
    } catch (IOException | InvalidDocumentException e) {
      EventLog.warn(LogEvent.SETTINGS_READ, "file={} result={}", file, e.getMessage());
    }
  }

  private static NodeSettings settings(Path file) throws CommandFailure {
    try {
      return NodeSettings.load(file);
    } catch (IOException e) {
      throw new CommandFailure(ExitCode.BAD_INPUT, "can't read " + file + ": " + e.getMessage());
    } catch (InvalidDocumentException e) {
      throw new CommandFailure(ExitCode.BAD_INPUT, e.getMessage());
    }
  }
}
