package org.marjoramhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.resource.Declarations;

/** Declares the resources of files. */
final class ApplyCommand implements Command {

  private static final long TIMEOUT_MILLIS = 10_000;

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String summary() {
    return "Declare the resources of files, all or nothing for each file.";
  }

  @Override
  public String example() {
    return "marjoramhoist apply -f declarations/ --dry-run";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("-f", "--file")
        .required(true)
        .help("a file, or a directory whose .json and .jsonc files are applied in order");
    parser
        .addArgument("--dry-run")
        .action(Arguments.storeTrue())
        .help("only show what would change");
    parser
        .addArgument("--prune")
        .action(Arguments.storeTrue())
        .help("delete resources of the same kinds that a file does not declare");
    org.marjoramhoist.cli.Arguments.addOperator(parser);
    org.marjoramhoist.cli.Arguments.addOutput(parser, "table", "json");
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure, InterruptedException {
    List<Path> files = DeclarationFiles.under(Path.of(arguments.getString("file")));
    if (files.isEmpty()) {
      throw new CommandFailure(ExitCode.BAD_INPUT, "no .json or .jsonc file found");
    }
    List<String> texts = new ArrayList<>();
    for (Path file : files) {
      texts.add(checked(file));
    }
    try (HostClient client = org.marjoramhoist.cli.Arguments.client(arguments)) {
      for (int i = 0; i < files.size(); i++) {
        String path =
            "/v1/apply?dryRun="
                + arguments.getBoolean("dry_run")
                + "&prune="
                + arguments.getBoolean("prune")
                + "&source="
                + URLEncoder.encode(files.get(i).toString(), StandardCharsets.UTF_8);
        print(arguments, files.get(i), client.json("POST", path, texts.get(i), TIMEOUT_MILLIS));
      }
    }
    return ExitCode.OK;
  }

  /** Refuses a faulty file before any file is sent. */
  private static String checked(Path file) throws CommandFailure {
    String text = org.marjoramhoist.cli.Arguments.read(file);
    try {
      Declarations.parse(file.toString(), text);
      return text;
    } catch (InvalidDocumentException e) {
      throw new CommandFailure(ExitCode.BAD_INPUT, e.getMessage());
    }
  }

  private static void print(Namespace arguments, Path file, JsonNode reply) {
    if (arguments.getString("output").equals("json")) {
      System.out.println(reply);
      return;
    }
    List<List<String>> rows = new ArrayList<>();
    for (JsonNode change : reply.path("changes")) {
      List<String> fields = new ArrayList<>();
      change.path("fields").forEach(field -> fields.add(field.asText()));
      rows.add(
          List.of(
              change.path("resource").asText(),
              change.path("what").asText(),
              String.join(", ", fields)));
    }
    System.out.println(file + " (revision " + reply.path("revision").asLong() + ")");
    System.out.print(Tables.of(List.of("RESOURCE", "CHANGE", "FIELDS"), rows));
  }
}
