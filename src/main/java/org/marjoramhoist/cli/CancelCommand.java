package org.marjoramhoist.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Cancels a submission. */
final class CancelCommand implements Command {

  private static final long TIMEOUT_MILLIS = 5_000;

  @Override
  public String name() {
    return "cancel";
  }

  @Override
  public String summary() {
    return "Cancel a submission of a team.";
  }

  @Override
  public String example() {
    return "marjoramhoist cancel review-4711 --team fjordkreditt";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("id").help("the submission id");
    parser.addArgument("--team").required(true).help("the team that submitted it");
    Arguments.addCaller(parser);
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure, InterruptedException {
    String path = "/v1/jobs/" + arguments.getString("id") + "?team=" + arguments.getString("team");
    try (HostClient client = Arguments.client(arguments)) {
      System.out.println(client.json("DELETE", path, "", TIMEOUT_MILLIS));
    }
    return ExitCode.OK;
  }
}
