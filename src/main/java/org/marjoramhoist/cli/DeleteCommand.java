package org.marjoramhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Deletes a declared resource. */
final class DeleteCommand implements Command {

  private static final long TIMEOUT_MILLIS = 10_000;

  @Override
  public String name() {
    return "delete";
  }

  @Override
  public String summary() {
    return "Delete a declared resource that nothing else names.";
  }

  @Override
  public String example() {
    return "marjoramhoist delete team pilot --version 41";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("kind").choices("upstream", "team", "class").help("the kind");
    parser.addArgument("name").help("the name");
    parser
        .addArgument("--version")
        .type(Long.class)
        .setDefault(-1L)
        .help("delete only if the resource still has this version");
    Arguments.addOperator(parser);
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure, InterruptedException {
    String name = arguments.getString("kind") + "/" + arguments.getString("name");
    String path = "/v1/resources/" + name + "?version=" + arguments.getLong("version");
    try (HostClient client = Arguments.client(arguments)) {
      JsonNode reply = client.json("DELETE", path, "", TIMEOUT_MILLIS);
      System.out.println(name + " deleted (revision " + reply.path("revision").asLong() + ")");
    }
    return ExitCode.OK;
  }
}
