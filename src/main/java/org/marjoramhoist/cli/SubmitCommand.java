package org.marjoramhoist.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.json.JsonText;

/** Submits a job and waits for its answer. */
final class SubmitCommand implements Command {

  private static final long TIMEOUT_MARGIN_MILLIS = 5_000;
  private static final long POLL_MILLIS = 5_000;
  private static final int OK = 200;
  private static final int ACCEPTED = 202;

  @Override
  public String name() {
    return "submit";
  }

  @Override
  public String summary() {
    return "Submit a job from a file and wait for its whole answer.";
  }

  @Override
  public String example() {
    return "marjoramhoist submit -f job.json --id review-4711";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("-f", "--file").required(true).help("the job, as docs/API.md describes it");
    parser.addArgument("--id").help("the submission id; a ticket is taken if it is left out");
    parser
        .addArgument("--deadline-millis")
        .type(Long.class)
        .setDefault(30_000L)
        .help("the deadline from now on, if the file names none (default: 30000)");
    Arguments.addCaller(parser);
    Arguments.addOutput(parser, "table", "json");
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure, InterruptedException {
    ObjectNode job = read(Path.of(arguments.getString("file")));
    long now = System.currentTimeMillis();
    if (!job.has("deadlineMillis")) {
      job.put("deadlineMillis", now + arguments.getLong("deadline_millis"));
    }
    long deadline = job.path("deadlineMillis").asLong();
    try (HostClient client = Arguments.client(arguments)) {
      String id = arguments.getString("id");
      if (id == null) {
        id = client.json("POST", "/v1/tickets", "", POLL_MILLIS).path("ticket").asText();
      }
      String path = "/v1/jobs/" + id + "?wait=" + POLL_MILLIS;
      long patience = POLL_MILLIS + TIMEOUT_MARGIN_MILLIS;
      HttpReply reply = client.call("PUT", path, job.toString(), patience);
      while (reply.status() == ACCEPTED
          && System.currentTimeMillis() < deadline + TIMEOUT_MARGIN_MILLIS) {
        reply = client.call("GET", path, "", patience);
      }
      print(arguments, reply);
      return reply.status() == OK ? ExitCode.OK : ExitCode.FAILED;
    }
  }

  private static ObjectNode read(Path file) throws CommandFailure {
    try {
      JsonNode node = JsonText.MAPPER.readTree(Arguments.read(file));
      if (node instanceof ObjectNode object) {
        return object;
      }
      throw new CommandFailure(ExitCode.BAD_INPUT, file + ": must be an object");
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      throw new CommandFailure(
          ExitCode.BAD_INPUT, file + ":" + line + ": not valid JSON: " + e.getOriginalMessage());
    }
  }

  private static void print(Namespace arguments, HttpReply reply) throws CommandFailure {
    JsonNode body = HostClient.parse(reply);
    if (arguments.getString("output").equals("json")) {
      System.out.println(body);
      return;
    }
    System.out.println(
        "submission " + body.path("submission").asText() + " " + body.path("state").asText());
    if (body.has("error")) {
      System.out.println(
          body.path("error").asText()
              + " (ran: "
              + body.path("ran").asText()
              + "): "
              + body.path("detail").asText());
      return;
    }
    List<List<String>> rows = new ArrayList<>();
    for (JsonNode result : body.path("results")) {
      rows.add(
          List.of(
              result.path("task").asText(),
              result.path("worker").asText(),
              result.path("runMicros").asText(),
              result.path("value").asText()));
    }
    System.out.print(Tables.of(List.of("TASK", "WORKER", "RUN_MICROS", "VALUE"), rows));
  }
}
