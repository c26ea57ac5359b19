package org.marjoramhoist.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.explain.LogLine;
import org.marjoramhoist.explain.Story;

/** Prints what the logs of several hosts say of one job. */
final class ExplainCommand implements Command {

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "Print what the logs of several hosts say of one job, in order of time.";
  }

  @Override
  public String example() {
    return "marjoramhoist explain 5c0e7a21d94b36f8 host-a.log host-b.log";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("id").help("the job's id");
    parser
        .addArgument("file")
        .nargs("*")
        .help("logs of hosts, one JSON event a line; standard input if none is named");
  }

  @Override
  public ExitCode run(Namespace arguments) throws Exception {
    List<LogLine> log = new ArrayList<>();
    List<String> files = arguments.getList("file");
    if (files.isEmpty()) {
      read("input", standardInput().lines(), log);
    }
    for (String file : files) {
      read(file, Arguments.read(Path.of(file)).lines(), log);
    }
    return print(Story.of(log, arguments.getString("id")), arguments.getString("id"));
  }

  private static BufferedReader standardInput() {
    return new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
  }

  private static void read(String source, Stream<String> lines, List<LogLine> log) {
    lines.forEach(line -> LogLine.parse(source, line).ifPresent(log::add));
  }

  private static ExitCode print(Story story, String id) {
    if (story.lines().isEmpty()) {
      System.out.println(
          "No event is about job " + id + ": it succeeded, or its hosts' logs are not here.");
      return ExitCode.FAILED;
    }
    for (LogLine line : story.lines()) {
      System.out.printf(
          Locale.ROOT, "%s  %s  %s  %s%n", line.time(), line.host(), line.event(), line.detail());
    }
    story.clocks().forEach(sentence -> System.out.println("Note: " + sentence + "."));
    return ExitCode.OK;
  }
}
