package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramhoist.decision.AccountEntry;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.RunState;
import org.marjoramhoist.model.TaskId;
import org.marjoramhoist.model.TaskSpec;

/**
 * Checks a history against what must always hold.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Invariants {

  private Invariants() {}

  /** Returns every breach found, in words; empty if all holds. */
  public static List<String> breaches(History history) {
    List<String> found = new ArrayList<>();
    startsOnce(history, found);
    answersWhole(history, found);
    notRunIsTrue(history, found);
    configNeverReverts(history, found);
    accountsCoverAnswers(history, found);
    return found;
  }

  private static Map<String, JobSpec> jobs(History history) {
    Map<String, JobSpec> jobs = new HashMap<>();
    history.requests().values().forEach(r -> jobs.putIfAbsent(r.job().id().value(), r.job()));
    return jobs;
  }

  /**
   * A task that is not idempotent starts at most once. An idempotent one is started by one host
   * only, and again only after its earlier attempt has surely ended.
   */
  static void startsOnce(History history, List<String> found) {
    Map<String, JobSpec> jobs = jobs(history);
    Map<String, List<History.Start>> byTask = new TreeMap<>();
    for (History.Start start : history.starts()) {
      String key = start.submission() + "/" + start.task();
      byTask.computeIfAbsent(key, k -> new ArrayList<>()).add(start);
    }
    byTask.forEach(
        (key, starts) -> {
          History.Start first = starts.get(0);
          boolean repeatable = isIdempotent(jobs.get(first.submission()), first.task());
          if (starts.size() > 1 && !repeatable) {
            found.add("started " + starts.size() + " times: " + starts);
          }
          long over = 0;
          for (History.Start start : starts) {
            if (start.time() < over) {
              found.add("started again while it ran: " + starts);
            }
            over = Math.max(over, history.endOf(start.attempt()));
            if (!starterOf(start).equals(starterOf(first))) {
              found.add("started by two hosts: " + starts);
            }
          }
        });
  }

  /** Attempt ids begin with the host and its boot. */
  private static String starterOf(History.Start start) {
    return start.attempt().substring(0, start.attempt().lastIndexOf('-'));
  }

  private static boolean isIdempotent(JobSpec job, TaskId task) {
    return job.tasks().stream().filter(t -> t.id().equals(task)).anyMatch(TaskSpec::idempotent);
  }

  /** An answer is complete with one result for each task of the request, or failed with none. */
  static void answersWhole(History history, List<String> found) {
    Set<Long> answered = new HashSet<>();
    for (History.Answer answer : history.answers()) {
      History.Request request = history.requests().get(answer.number());
      if (request == null) {
        continue;
      }
      if (!answered.add(answer.number())) {
        found.add("answered twice: request " + answer.number());
      }
      JobAnswer given = answer.answer();
      if (!given.id().equals(request.job().id())) {
        found.add("answer to another submission: request " + answer.number());
      }
      if (given.isComplete() && !isWhole(request.job(), given)) {
        found.add("partial answer: " + request.job().id());
      }
    }
  }

  private static boolean isWhole(JobSpec job, JobAnswer answer) {
    if (job.tasks().size() != answer.results().size()) {
      return false;
    }
    for (int i = 0; i < job.tasks().size(); i++) {
      var result = answer.results().get(i);
      if (result == null || !result.id().equals(job.tasks().get(i).id())) {
        return false;
      }
    }
    return true;
  }

  /** What was refused as not run had no start before, and has none after unless asked for again. */
  static void notRunIsTrue(History history, List<String> found) {
    Map<String, List<History.Start>> starts = new HashMap<>();
    history
        .starts()
        .forEach(s -> starts.computeIfAbsent(s.submission(), k -> new ArrayList<>()).add(s));
    for (History.Answer answer : history.answers()) {
      if (answer.answer().error() == null
          || answer.answer().runState() != RunState.NOT_RUN
          || answer.answer().error() == ErrorKind.BAD_REQUEST) {
        continue;
      }
      String id = answer.answer().id().value();
      boolean askedAgain = isAskedAgain(history, answer, id);
      for (History.Start start : starts.getOrDefault(id, List.of())) {
        if (start.time() <= answer.time() || !askedAgain) {
          found.add("said not run, but started: " + start + " answer " + answer);
        }
      }
    }
  }

  /** Another request of the same submission may start it once this one was refused. */
  private static boolean isAskedAgain(History history, History.Answer answer, String id) {
    return history.requests().values().stream()
        .anyMatch(r -> r.job().id().value().equals(id) && r.number() != answer.number());
  }

  /** The revision in force at an incarnation only rises. */
  static void configNeverReverts(History history, List<String> found) {
    Map<String, Long> last = new HashMap<>();
    for (History.ConfigInForce config : history.configs()) {
      long before = last.getOrDefault(config.host(), 0L);
      if (config.revision() <= before) {
        found.add("configuration reverted: " + config + " after " + before);
      }
      last.put(config.host(), config.revision());
    }
  }

  /** No account row stands for more tasks than its submission was seen to have. */
  static void accountsCoverAnswers(History history, List<String> found) {
    Map<String, Integer> ok = new HashMap<>();
    for (List<AccountEntry> rows : history.accounts().values()) {
      for (AccountEntry row : rows) {
        if (row.outcome().equals("ok")) {
          ok.merge(row.submission().value(), row.tasks(), Integer::sum);
        }
      }
    }
    Map<String, JobSpec> jobs = jobs(history);
    ok.forEach(
        (id, tasks) -> {
          JobSpec job = jobs.get(id);
          if (job != null && tasks > job.tasks().size()) {
            found.add("accounted " + tasks + " runs of " + job.tasks().size() + " tasks: " + id);
          }
        });
  }
}
