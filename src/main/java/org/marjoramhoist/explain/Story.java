package org.marjoramhoist.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the logs say of one job, in order of time, with what happened to the hosts meanwhile.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param lines the events
 * @param clocks what is wrong between the hosts' clocks, as sentences
 */
public record Story(List<LogLine> lines, List<String> clocks) {

  private static final Duration AROUND = Duration.ofSeconds(2);

  /** Events of hosts that explain what became of jobs at that time. */
  private static final Set<String> CONTEXT =
      Set.of(
          "LEADER_ELECTED",
          "LEADER_STEPPED_DOWN",
          "LEADER_HANDS_OVER",
          "JOBS_LOADED",
          "JOBS_RESUBMITTED",
          "HOST_LINK_OPENED",
          "LEADER_CHANGED",
          "STORE_DOWN",
          "STORE_UP",
          "PEER_DEAD",
          "PROCESS_STARTED",
          "PROCESS_STOPPING",
          "PROCESS_STOPPED",
          "WORKER_EJECTED",
          "WORKER_LEAVING",
          "WORKER_UNREACHABLE",
          "WORKER_REPLACED");

  /** Ends of a job as its leader decides them. */
  private static final Set<String> DECIDED = Set.of("JOB_REFUSED", "JOB_FAILED", "JOB_ABANDONED");

  /** The answer to the caller, which follows the decision. */
  private static final String ANSWERED = "JOB_ANSWERED";

  /** Creates a story with copies of the lists. */
  public Story {
    lines = List.copyOf(lines);
    clocks = List.copyOf(clocks);
  }

  /**
   * Picks the story of a job.
   *
   * @param log the events of all hosts, in any order
   * @param id the job's id
   * @return the story; without lines if no event is about the job
   */
  public static Story of(List<LogLine> log, String id) {
    List<LogLine> sorted = new ArrayList<>(log);
    sorted.sort(Comparator.comparing(LogLine::time));
    List<LogLine> own = sorted.stream().filter(line -> isAbout(line, id)).toList();
    if (own.isEmpty()) {
      return new Story(List.of(), List.of());
    }
    Instant from = own.get(0).time().minus(AROUND);
    Instant until = own.get(own.size() - 1).time().plus(AROUND);
    List<LogLine> lines = new ArrayList<>();
    for (LogLine line : sorted) {
      boolean near = !line.time().isBefore(from) && !line.time().isAfter(until);
      if (isAbout(line, id) || near && CONTEXT.contains(line.event())) {
        lines.add(line);
      }
    }
    return new Story(lines, clocks(sorted));
  }

  private static boolean isAbout(LogLine line, String id) {
    return line.job().filter(id::equals).isPresent();
  }

  /** Finds hosts whose answers are dated before the decisions they follow. */
  private static List<String> clocks(List<LogLine> log) {
    Map<String, LogLine> decided = new HashMap<>();
    for (LogLine line : log) {
      if (DECIDED.contains(line.event())) {
        line.job().ifPresent(job -> decided.put(job, line));
      }
    }
    Map<String, Long> ahead = new TreeMap<>();
    for (LogLine line : log) {
      LogLine cause = line.job().map(decided::get).orElse(null);
      if (line.event().equals(ANSWERED) && cause != null && !cause.host().equals(line.host())) {
        long millis = Duration.between(line.time(), cause.time()).toMillis();
        if (millis > 0) {
          ahead.merge(cause.host() + " is ahead of " + line.host(), millis, Math::max);
        }
      }
    }
    return ahead.entrySet().stream()
        .map(each -> "the clock of " + each.getKey() + " by " + each.getValue() + " ms or more")
        .toList();
  }
}
