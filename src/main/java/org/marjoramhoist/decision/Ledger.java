package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TeamId;

/**
 * Collects what ran and what was refused, until the store has taken it.
 *
 * <ul>
 *   <li>Batches are numbered; a batch is written again unchanged until the store has confirmed it,
 *       so a lost reply counts nothing twice.
 *   <li>When the backlog is long, rows lose their submission and worker before anything is lost;
 *       the totals stay right.
 * </ul>
 *
 * <p>Confined to one thread.
 */
public final class Ledger {

  /** Stands for many submissions in a row that has lost its detail. */
  public static final SubmissionId MERGED = new SubmissionId("-");

  private static final int ROWS_PER_BATCH = 3_000;
  private static final long RETRY = 2 * Policy.MICROS_PER_SECOND;
  private static final String OK = "ok";

  private record Key(
      TeamId team,
      String caller,
      SubmissionId submission,
      ClassId classId,
      String worker,
      String outcome) {

    Key merged() {
      return new Key(team, "", MERGED, classId, "", outcome);
    }
  }

  private static final class Sum {
    private long start = Long.MAX_VALUE;
    private long end;
    private long cost;
    private int tasks;

    void add(long from, long to, long micros, int count) {
      start = Math.min(start, from);
      end = Math.max(end, to);
      cost += micros;
      tasks += count;
    }
  }

  private final Policy policy;
  private Map<Key, Sum> rows = new LinkedHashMap<>();
  private List<AccountEntry> inFlight = List.of();
  private long seq;
  private long nextWrite;
  private boolean writing;
  private boolean closing;
  private boolean closed;
  private long mergedRows;

  /** Creates an empty ledger. */
  public Ledger(Policy policy) {
    this.policy = policy;
  }

  /** Accounts for an attempt that was started, or may have been. */
  void ran(long now, Attempt attempt, ErrorKind error, long costMicros) {
    JobSpec job = attempt.job().spec();
    String worker = attempt.worker().id().value();
    add(key(job, worker, error), attempt.startedAt(), now, costMicros, 1);
  }

  /** Accounts for a job that was refused. */
  void refused(long now, JobSpec job, JobAnswer answer) {
    add(key(job, "", answer.error()), now, now, 0, job.tasks().size());
  }

  /** Accounts for the tasks of a failed job that were never started. */
  void failed(long now, JobRun job, JobAnswer answer) {
    int never = 0;
    for (var task : job.spec().tasks()) {
      never += job.starts(task) == 0 ? 1 : 0;
    }
    if (never > 0) {
      add(key(job.spec(), "", answer.error()), job.submittedAt(), now, 0, never);
    }
  }

  private static Key key(JobSpec job, String worker, ErrorKind error) {
    String outcome = error == null ? OK : error.name().toLowerCase(Locale.ROOT);
    return new Key(job.team(), job.caller(), job.id(), job.classId(), worker, outcome);
  }

  private void add(Key key, long start, long end, long cost, int tasks) {
    rows.computeIfAbsent(key, k -> new Sum()).add(start, end, cost, tasks);
    if (rows.size() > policy.maxAccountRows()) {
      mergeRows();
    }
  }

  /** Drops the submission and the worker from every row; the totals stay. */
  private void mergeRows() {
    mergedRows += rows.size();
    Map<Key, Sum> merged = new LinkedHashMap<>();
    rows.forEach(
        (key, sum) ->
            merged
                .computeIfAbsent(key.merged(), k -> new Sum())
                .add(sum.start, sum.end, sum.cost, sum.tasks));
    rows = merged;
  }

  /** Writes a batch if it is time and none is in flight. */
  void tick(long now, Actions out) {
    if (writing || now < nextWrite || closed) {
      return;
    }
    if (inFlight.isEmpty()) {
      if (rows.isEmpty() && !closing) {
        return;
      }
      inFlight = takeBatch();
      seq++;
    }
    writing = true;
    nextWrite = now + policy.accountInterval();
    out.add(new Action.WriteAccounts(seq, inFlight, closing && rows.isEmpty()));
  }

  private List<AccountEntry> takeBatch() {
    List<AccountEntry> batch = new ArrayList<>();
    Iterator<Map.Entry<Key, Sum>> all = rows.entrySet().iterator();
    while (all.hasNext() && batch.size() < ROWS_PER_BATCH) {
      Map.Entry<Key, Sum> row = all.next();
      Key key = row.getKey();
      Sum sum = row.getValue();
      batch.add(
          new AccountEntry(
              key.team,
              key.caller,
              key.submission,
              key.classId,
              key.worker,
              key.outcome,
              sum.start,
              sum.end,
              sum.cost,
              sum.tasks));
      all.remove();
    }
    return batch;
  }

  /** Takes in whether the batch in flight was written. */
  void written(long now, long batch, boolean done, Actions out) {
    if (!writing || batch != seq) {
      return;
    }
    writing = false;
    if (!done) {
      nextWrite = now + RETRY;
      return;
    }
    out.log(LogEvent.ACCOUNTS_WRITTEN, "batch=" + seq + " rows=" + inFlight.size());
    inFlight = List.of();
    closed = closing && rows.isEmpty();
    if (closing) {
      nextWrite = now;
    }
  }

  /** Writes what is left, and then a last batch that closes this incarnation's accounts. */
  void close(long now) {
    if (!closing) {
      closing = true;
      nextWrite = now;
    }
  }

  /** Tells whether the store has taken everything, after {@link #close}. */
  boolean isClosed() {
    return closed;
  }

  /** Returns how many rows wait for the store. */
  public int backlog() {
    return rows.size() + inFlight.size();
  }

  /** Returns how many rows have lost their detail. */
  public long mergedRows() {
    return mergedRows;
  }
}
