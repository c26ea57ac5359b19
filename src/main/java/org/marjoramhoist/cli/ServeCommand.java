package org.marjoramhoist.cli;

import java.io.IOException;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.config.Settings;
import org.marjoramhoist.host.EntryHost;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.log.Logging;

/** Runs an entry host until it is told to stop. */
final class ServeCommand implements Command {

  @Override
  public String name() {
    return "serve";
  }

  @Override
  public String summary() {
    return "Run an entry host; SIGTERM stops it without cutting a request short.";
  }

  @Override
  public String example() {
    return "marjoramhoist serve --settings examples/fjordkreditt/host-1.jsonc";
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
    Settings settings = settings(Path.of(arguments.getString("settings")));
    Logging.configure(settings.log().format(), settings.log().level());
    StopHook hook = StopHook.install();
    EntryHost host;
    try {
      host = EntryHost.start(settings);
      hook.started(() -> stop(host));
    } catch (IOException | RuntimeException e) {
      throw new CommandFailure(ExitCode.FAILED, "can't start: " + e.getMessage());
    } finally {
      hook.startEnded();
    }
    host.gaveUp().join();
    hook.remove();
    host.close();
    return ExitCode.FAILED;
  }

  private static void stop(EntryHost host) {
    host.drain();
    host.close();
  }

  static Settings settings(Path file) throws CommandFailure {
    try {
      return Settings.load(file);
    } catch (IOException e) {
      throw new CommandFailure(ExitCode.BAD_INPUT, "can't read " + file + ": " + e.getMessage());
    } catch (InvalidDocumentException e) {
      throw new CommandFailure(ExitCode.BAD_INPUT, e.getMessage());
    }
  }
}
