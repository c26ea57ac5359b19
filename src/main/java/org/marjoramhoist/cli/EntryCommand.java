package org.marjoramhoist.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
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
    // Both signals end a process that has no handler for them.
    CompletableFuture<NodeSettings> inForce = new CompletableFuture<>();
    HangupSignal.onHangup(() -> inForce.thenAccept(settings -> reload(file, settings)));
    StopHook hook = StopHook.install();
    try {
      NodeSettings settings = settings(file);
      Logging.configure(
          arguments.getString("log_format"),
          settings.logLevel(),
          Logging.Target.STANDARD_OUTPUT_QUEUED);
      EventLog.setLinesPerSecond(settings.logLinesPerSecond());
      EntryNode node = start(settings);
      inForce.complete(settings);
      hook.started(() -> stop(node));
    } finally {
      hook.startEnded();
    }
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }

  private static EntryNode start(NodeSettings settings) throws CommandFailure {
    try {
      return EntryNode.start(settings);
    } catch (IOException | RuntimeException e) {
      throw new CommandFailure(ExitCode.FAILED, "can't start: " + e.getMessage());
    }
  }

  private static void stop(EntryNode node) {
    node.drain();
    node.close();
    Logging.finish();
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
