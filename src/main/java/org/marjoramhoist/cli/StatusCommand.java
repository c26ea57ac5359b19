package org.marjoramhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Shows the state of a host and what it sees. */
final class StatusCommand implements Command {

  private static final long TIMEOUT_MILLIS = 5_000;

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String summary() {
    return "Show a host, the hosts and workers it sees, and the revision each has in force.";
  }

  @Override
  public String example() {
    return "marjoramhoist status --server 127.0.0.1:7200";
  }

  @Override
  public void declare(Subparser parser) {
    Arguments.addOperator(parser);
    Arguments.addOutput(parser, "table", "json");
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure, InterruptedException {
    try (HostClient client = Arguments.client(arguments)) {
      JsonNode status = client.json("GET", "/v1/status", "", TIMEOUT_MILLIS);
      if (arguments.getString("output").equals("json")) {
        System.out.println(status.toPrettyString());
      } else {
        print(status);
      }
    }
    return ExitCode.OK;
  }

  private static void print(JsonNode status) {
    List<List<String>> hosts = new ArrayList<>();
    hosts.add(
        List.of(
            status.path("host").asText(),
            status.path("domain").asText(),
            "SELF",
            status.path("draining").asText(),
            status.path("configRevision").asText()));
    for (JsonNode host : status.path("hosts")) {
      hosts.add(fields(host, "host", "domain", "state", "draining", "configRevision"));
    }
    System.out.print(Tables.of(List.of("HOST", "DOMAIN", "STATE", "DRAINING", "REVISION"), hosts));
    System.out.println();
    List<List<String>> workers = new ArrayList<>();
    for (JsonNode worker : status.path("workers")) {
      workers.add(
          fields(worker, "upstream", "worker", "domain", "state", "slots", "share", "running"));
    }
    System.out.print(
        Tables.of(
            List.of("UPSTREAM", "WORKER", "DOMAIN", "STATE", "SLOTS", "SHARE", "RUNNING"),
            workers));
    System.out.println();
    System.out.println(
        "jobs "
            + status.path("jobs")
            + ", waiting tasks "
            + status.path("waitingTasks")
            + ", attempts "
            + status.path("attempts")
            + ", claims "
            + status.path("claims")
            + ", submissions remembered "
            + status.path("submissions")
            + ", account rows to write "
            + status.path("accountBacklog")
            + ", shards "
            + status.path("shards").size());
  }

  private static List<String> fields(JsonNode node, String... names) {
    List<String> values = new ArrayList<>();
    for (String name : names) {
      values.add(node.path(name).asText());
    }
    return values;
  }
}
