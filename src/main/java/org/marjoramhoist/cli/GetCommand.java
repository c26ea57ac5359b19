package org.marjoramhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.resource.Kind;

/** Shows declared resources. */
final class GetCommand implements Command {

  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long WATCH_MILLIS = 30_000;

  @Override
  public String name() {
    return "get";
  }

  @Override
  public String summary() {
    return "Show the resources in force at a host; with --watch, again after each change.";
  }

  @Override
  public String example() {
    return "marjoramhoist get team fjordkreditt -o json";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("kind").choices("upstream", "team", "class").help("the kind");
    parser.addArgument("name").nargs("?").help("the name; all of the kind if it is left out");
    parser
        .addArgument("--watch")
        .action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
        .help("go on showing changes until interrupted");
    Arguments.addOperator(parser);
    Arguments.addOutput(parser, "table", "json");
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure, InterruptedException {
    String name = Kind.of(arguments.getString("kind")).label();
    if (arguments.getString("name") != null) {
      name += "/" + arguments.getString("name");
    }
    try (HostClient client = Arguments.client(arguments)) {
      JsonNode reply = client.json("GET", "/v1/resources/" + name, "", TIMEOUT_MILLIS);
      print(arguments, reply);
      while (arguments.getBoolean("watch")) {
        long since = reply.path("revision").asLong();
        String path = "/v1/watch?kind=" + name + "&since=" + since + "&wait=" + WATCH_MILLIS;
        reply = client.json("GET", path, "", WATCH_MILLIS + TIMEOUT_MILLIS);
        if (reply.path("revision").asLong() > since) {
          print(arguments, reply);
        }
      }
    }
    return ExitCode.OK;
  }

  private static void print(Namespace arguments, JsonNode reply) {
    if (arguments.getString("output").equals("json")) {
      System.out.println(reply.toPrettyString());
      return;
    }
    List<List<String>> rows = new ArrayList<>();
    for (JsonNode item : reply.path("items")) {
      rows.add(
          List.of(
              item.path("kind").asText(),
              item.path("name").asText(),
              item.path("version").asText(),
              conditions(item.path("status").path("conditions")),
              describe(item.path("spec"))));
    }
    System.out.println("revision " + reply.path("revision").asLong());
    System.out.print(Tables.of(List.of("KIND", "NAME", "VERSION", "CONDITIONS", "SPEC"), rows));
  }

  private static String conditions(JsonNode conditions) {
    List<String> texts = new ArrayList<>();
    for (JsonNode condition : conditions) {
      texts.add(
          condition.path("type").asText()
              + "="
              + condition.path("status").asText()
              + " ("
              + condition.path("reason").asText()
              + ")");
    }
    return String.join(", ", texts);
  }

  private static String describe(JsonNode spec) {
    if (spec.has("workers")) {
      return spec.path("workers").size() + " workers";
    }
    return spec.toString();
  }
}
