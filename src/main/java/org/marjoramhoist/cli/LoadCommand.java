package org.marjoramhoist.cli;

import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.load.LoadPlan;
import org.marjoramhoist.load.LoadReport;
import org.marjoramhoist.load.LoadResult;
import org.marjoramhoist.load.LoadRunner;

/** Offers a bounded load and measures the answers. */
final class LoadCommand implements Command {

  private static final long MAX_SECONDS = 600;
  private static final double MAX_RATE = 20_000;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String summary() {
    return "Offer a bounded load on this machine and compare response times with the ideal.";
  }

  @Override
  public String example() {
    return "marjoramhoist load --server 127.0.0.1:7100 --team demo --class snapshot --rate 20";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("--server")
        .nargs("+")
        .setDefault(List.of(Arguments.DEFAULT_CALLERS))
        .help("listeners for callers on a loopback address, used in turn");
    parser.addArgument("--token-file").help("a file that holds the team's token");
    parser.addArgument("--team").required(true).help("the team");
    parser.addArgument("--class").dest("classes").nargs("+").required(true).help("the classes");
    parser.addArgument("--rate").type(Double.class).setDefault(10.0).help("jobs a second");
    parser.addArgument("--tasks").type(Integer.class).setDefault(20).help("tasks of a job");
    parser.addArgument("--min-millis").type(Long.class).setDefault(50L).help("least task size");
    parser.addArgument("--max-millis").type(Long.class).setDefault(200L).help("greatest size");
    parser
        .addArgument("--declared-error")
        .type(Double.class)
        .setDefault(1.0)
        .help("how far off declared sizes are, as a factor");
    parser.addArgument("--deadline-millis").type(Long.class).setDefault(10_000L).help("deadline");
    parser.addArgument("--seconds").type(Long.class).setDefault(10L).help("how long");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the arrivals");
    parser.addArgument("--max-open").type(Integer.class).setDefault(5_000).help("most in flight");
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure, InterruptedException {
    List<String> servers = arguments.getList("server");
    for (String server : servers) {
      if (!server.startsWith("127.") && !server.startsWith("[::1]:")) {
        throw new CommandFailure(
            ExitCode.BAD_INPUT, "load is only offered to loopback addresses, not " + server);
      }
    }
    long seconds = arguments.getLong("seconds");
    double rate = arguments.getDouble("rate");
    if (seconds < 1 || seconds > MAX_SECONDS || !(rate > 0 && rate <= MAX_RATE)) {
      throw new CommandFailure(
          ExitCode.BAD_INPUT,
          "seconds must be from 1 to " + MAX_SECONDS + ", rate up to " + MAX_RATE);
    }
    try (LoadRunner runner = new LoadRunner(plan(arguments, servers))) {
      LoadResult result = runner.run();
      System.out.print(LoadReport.of(result));
      return result.wrong() == 0 ? ExitCode.OK : ExitCode.FAILED;
    }
  }

  private static LoadPlan plan(Namespace arguments, List<String> servers) throws CommandFailure {
    String tokenFile = arguments.getString("token_file");
    return new LoadPlan(
        servers,
        arguments.getString("team"),
        arguments.getList("classes"),
        arguments.getDouble("rate"),
        arguments.getInt("tasks"),
        arguments.getLong("min_millis"),
        arguments.getLong("max_millis"),
        arguments.getDouble("declared_error"),
        arguments.getLong("deadline_millis"),
        arguments.getLong("seconds") * 1_000,
        arguments.getLong("seed"),
        tokenFile == null ? "" : Arguments.read(Path.of(tokenFile)).strip(),
        arguments.getInt("max_open"));
  }
}
