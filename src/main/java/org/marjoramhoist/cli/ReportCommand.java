package org.marjoramhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Reports what ran, for whom and at what cost. */
final class ReportCommand implements Command {

  private static final long TIMEOUT_MILLIS = 60_000;
  private static final double MICROS_PER_SECOND = 1e6;

  @Override
  public String name() {
    return "report";
  }

  @Override
  public String summary() {
    return "Report what ran, for whom and at what cost.";
  }

  @Override
  public String example() {
    return "marjoramhoist report --from 2026-12-01 --to 2027-01-01 --by team,class -o csv";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--from").help("start, a date or an instant in UTC (default: all)");
    parser.addArgument("--to").help("end, excluded (default: now)");
    parser
        .addArgument("--by")
        .setDefault("team,class")
        .help("columns: team, class, caller, submission, worker, outcome, day");
    Arguments.addOperator(parser);
    Arguments.addOutput(parser, "table", "csv", "json");
  }

  @Override
  public ExitCode run(Namespace arguments) throws CommandFailure, InterruptedException {
    StringBuilder path = new StringBuilder("/v1/report?by=").append(arguments.getString("by"));
    if (arguments.getString("from") != null) {
      path.append("&from=").append(millis(arguments.getString("from")));
    }
    if (arguments.getString("to") != null) {
      path.append("&to=").append(millis(arguments.getString("to")));
    }
    try (HostClient client = Arguments.client(arguments)) {
      JsonNode report = client.json("GET", path.toString(), "", TIMEOUT_MILLIS);
      switch (arguments.getString("output")) {
        case "json" -> System.out.println(report.toPrettyString());
        case "csv" -> System.out.print(csv(report));
        default -> System.out.print(table(report));
      }
      return ExitCode.OK;
    }
  }

  private static long millis(String text) throws CommandFailure {
    try {
      if (text.contains("T")) {
        return Instant.parse(text).toEpochMilli();
      }
      return LocalDate.parse(text).atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli();
    } catch (DateTimeParseException e) {
      throw new CommandFailure(
          ExitCode.BAD_INPUT,
          "not a date or instant: " + text + "; use 2026-12-01 or 2026-12-01T08:00:00Z");
    }
  }

  /** Returns the report as a table, with its gaps below. */
  static String table(JsonNode report) {
    StringBuilder text = new StringBuilder(Tables.of(header(report), rows(report)));
    for (JsonNode gap : report.path("gaps")) {
      text.append("GAP: ").append(gap.asText()).append('\n');
    }
    return text.toString();
  }

  private static List<String> header(JsonNode report) {
    List<String> header = new ArrayList<>();
    report.path("columns").forEach(column -> header.add(column.asText().toUpperCase(Locale.ROOT)));
    header.addAll(List.of("TASKS", "OK", "REFUSED", "FAILED", "COST_SECONDS"));
    return header;
  }

  private static List<List<String>> rows(JsonNode report) {
    List<List<String>> rows = new ArrayList<>();
    for (JsonNode row : report.path("rows")) {
      List<String> cells = new ArrayList<>();
      row.path("group").forEach(value -> cells.add(value.asText()));
      cells.add(row.path("tasks").asText());
      cells.add(row.path("ok").asText());
      cells.add(row.path("refused").asText());
      cells.add(row.path("failed").asText());
      cells.add(
          String.format(Locale.ROOT, "%.3f", row.path("costMicros").asLong() / MICROS_PER_SECOND));
      rows.add(cells);
    }
    return rows;
  }

  private static String csv(JsonNode report) {
    StringBuilder text = new StringBuilder();
    text.append(String.join(",", header(report))).append('\n');
    for (List<String> row : rows(report)) {
      text.append(String.join(",", row.stream().map(ReportCommand::quoted).toList())).append('\n');
    }
    for (JsonNode gap : report.path("gaps")) {
      text.append("# GAP: ").append(gap.asText()).append('\n');
    }
    return text.toString();
  }

  private static String quoted(String cell) {
    boolean plain = cell.indexOf(',') < 0 && cell.indexOf('"') < 0 && cell.indexOf('\n') < 0;
    return plain ? cell : '"' + cell.replace("\"", "\"\"") + '"';
  }
}
