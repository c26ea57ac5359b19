package org.marjoramhoist.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.config.Settings;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.resource.Declarations;

/** Checks settings and declarations without a host. */
final class CheckCommand implements Command {

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "Check settings and declarations, and list every fault at once.";
  }

  @Override
  public String example() {
    return "marjoramhoist check --settings host.jsonc -f declarations/";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--settings").nargs("*").help("settings files");
    parser.addArgument("-f", "--file").nargs("*").help("declaration files or directories");
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure {
    List<String> faults = new ArrayList<>();
    int files = 0;
    for (String name : listOf(arguments, "settings")) {
      files++;
      try {
        Settings.parse(name, Arguments.read(Path.of(name)));
      } catch (InvalidDocumentException e) {
        faults.add(e.getMessage());
      }
    }
    for (String name : listOf(arguments, "file")) {
      for (Path file : DeclarationFiles.under(Path.of(name))) {
        files++;
        try {
          Declarations.parse(file.toString(), Arguments.read(file));
        } catch (InvalidDocumentException e) {
          faults.add(e.getMessage());
        }
      }
    }
    if (files == 0) {
      throw new CommandFailure(ExitCode.BAD_INPUT, "nothing to check; use --settings or -f");
    }
    faults.forEach(System.err::println);
    System.out.println(files + " checked, " + faults.size() + " at fault");
    return faults.isEmpty() ? ExitCode.OK : ExitCode.BAD_INPUT;
  }

  private static List<String> listOf(Namespace arguments, String key) {
    List<String> values = arguments.getList(key);
    return values == null ? List.of() : values;
  }
}
