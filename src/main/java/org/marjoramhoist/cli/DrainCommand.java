package org.marjoramhoist.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Makes a host take no new work. */
final class DrainCommand implements Command {

  private static final long TIMEOUT_MILLIS = 5_000;

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String summary() {
    return "Make a host take no new work, end what it has, and hand its claims over.";
  }

  @Override
  public String example() {
    return "marjoramhoist drain --server 10.0.0.7:7200";
  }

  @Override
  public void declare(Subparser parser) {
    Arguments.addOperator(parser);
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure, InterruptedException {
    try (HostClient client = Arguments.client(arguments)) {
      System.out.println(client.json("POST", "/v1/drain", "", TIMEOUT_MILLIS));
    }
    return ExitCode.OK;
  }
}
