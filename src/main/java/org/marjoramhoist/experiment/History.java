package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramhoist.decision.AccountEntry;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.TaskId;

/**
 * What happened in a run, as callers, workers and the store saw it.
 *
 * <p>Confined to one thread.
 */
public final class History {

  /** A caller's request for a job. */
  public record Request(long number, long time, String host, JobSpec job) {}

  /** The answer to a request. */
  public record Answer(long number, long time, JobAnswer answer) {}

  /** The start of a task on a worker. */
  public record Start(long time, String submission, TaskId task, String worker, String attempt) {}

  /** A configuration revision that came into force at a host's incarnation. */
  public record ConfigInForce(long time, String host, long revision) {}

  private final Map<Long, Request> requests = new HashMap<>();
  private final List<Answer> answers = new ArrayList<>();
  private final List<Start> starts = new ArrayList<>();
  private final List<ConfigInForce> configs = new ArrayList<>();
  private final Map<String, List<AccountEntry>> accounts = new HashMap<>();
  private final Map<String, Long> messages = new HashMap<>();
  private final Map<String, Long> ends = new HashMap<>();

  void request(Request request) {
    requests.put(request.number(), request);
  }

  void answer(Answer answer) {
    answers.add(answer);
  }

  void start(Start start) {
    starts.add(start);
  }

  void config(ConfigInForce config) {
    configs.add(config);
  }

  void account(String key, List<AccountEntry> rows) {
    accounts.put(key, rows);
  }

  void count(String kind) {
    messages.merge(kind, 1L, Long::sum);
  }

  /** Notes that a started attempt no longer runs, or that its worker has ended. */
  void ended(String attempt, long time) {
    ends.putIfAbsent(attempt, time);
  }

  /** Returns the requests by their number. */
  public Map<Long, Request> requests() {
    return requests;
  }

  /** Returns the answers in the order of their times. */
  public List<Answer> answers() {
    return answers;
  }

  /** Returns the starts in the order of their times. */
  public List<Start> starts() {
    return starts;
  }

  /** Returns the configurations in the order in which they came into force. */
  public List<ConfigInForce> configs() {
    return configs;
  }

  /** Returns the stored batches of accounts by their keys. */
  public Map<String, List<AccountEntry>> accounts() {
    return accounts;
  }

  /** Returns how many messages of a kind there were. */
  public long messages(String kind) {
    return messages.getOrDefault(kind, 0L);
  }

  /** Returns when a started attempt ended on its worker; the greatest number if it has not. */
  public long endOf(String attempt) {
    return ends.getOrDefault(attempt, Long.MAX_VALUE);
  }
}
