package org.marjoramhoist.cli;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.experiment.CoreBench;
import org.marjoramhoist.experiment.PolicyBench;

/** Runs the policy bench in virtual time. */
final class ExperimentCommand implements Command {

  private static final String MARK = "MISS ";
  private static final long DEFAULT_SEED = 20_261_204L;

  @Override
  public String name() {
    return "experiment";
  }

  @Override
  public String summary() {
    return "Compare the decisions with plain dispatchers in virtual time; the same every time.";
  }

  @Override
  public String example() {
    return "marjoramhoist experiment --scenario burst";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--scenario").setDefault("").help("part of the names of the scenarios");
    parser
        .addArgument("--alone")
        .action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
        .help("leave the plain dispatchers out");
    parser
        .addArgument("--core")
        .action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
        .help("measure the cost of decisions by workers and teams instead");
    parser.addArgument("--known").help("a file that lists bounds known to be missed");
    parser.addArgument("--seed").type(Long.class).setDefault(DEFAULT_SEED).help("the seed");
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure {
    if (arguments.getBoolean("core")) {
      CoreBench.run();
      return ExitCode.OK;
    }
    List<String> missed =
        new PolicyBench(arguments.getLong("seed"))
            .run(arguments.getString("scenario"), arguments.getBoolean("alone"));
    Set<String> known = known(arguments.getString("known"));
    int unknown = 0;
    for (String text : missed) {
      boolean isKnown = known.contains(text.substring(0, text.indexOf(" is ")));
      unknown += isKnown ? 0 : 1;
      System.out.println((isKnown ? "KNOWN " : "MISSED ") + text);
    }
    System.out.println(
        missed.size() + " bounds missed, " + (missed.size() - unknown) + " of them known");
    return unknown == 0 ? ExitCode.OK : ExitCode.BOUND_MISSED;
  }

  /** Returns the bounds that a file lists as known to be missed, one after each {@code MISS}. */
  private static Set<String> known(String file) throws CommandFailure {
    Set<String> known = new HashSet<>();
    if (file != null) {
      for (String line : Arguments.read(Path.of(file)).split("\n")) {
        if (line.startsWith(MARK)) {
          known.add(line.substring(MARK.length()).strip());
        }
      }
    }
    return known;
  }
}
