package org.marjoramhoist.cli;

import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.experiment.PolicyBench;

/** Runs the policy bench in virtual time. */
final class ExperimentCommand implements Command {

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
    parser.addArgument("--seed").type(Long.class).setDefault(DEFAULT_SEED).help("the seed");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    List<String> missed =
        new PolicyBench(arguments.getLong("seed"))
            .run(arguments.getString("scenario"), arguments.getBoolean("alone"));
    missed.forEach(text -> System.out.println("MISSED " + text));
    System.out.println(missed.isEmpty() ? "all bounds met" : missed.size() + " bounds missed");
    return missed.isEmpty() ? ExitCode.OK : ExitCode.BOUND_MISSED;
  }
}
