package org.marjoramhoist.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;

/**
 * The outcomes of jobs that ended recently, and of those that were refused or cancelled before they
 * were accepted.
 *
 * <p>Invariant: once a job has been refused, a submission that an entry host sent before doesn't
 * start it, and once it has been cancelled, none does. A host states the last heartbeat that it had
 * received; the answers of the leader that precede a heartbeat are received before it. What is
 * older than the outcomes that are remembered is not started. Bounded by age and size. Confined to
 * one thread.
 */
final class RecentOutcomes {

  private static final long RETENTION_MICROS = 15_000_000;
  private static final int MAX_OUTCOMES = 20_000;
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * How a job ended.
   *
   * @param outcome the outcome
   * @param reason the reason for the outcome
   * @param retryAt when a refused caller may retry
   * @param endedAt when the job ended
   * @param started whether a run of the job was ever ordered
   * @param lastRunNumber the highest number of its runs
   * @param preventsUntil when the job was refused or cancelled last; no submission that was sent
   *     before starts it
   */
  record Outcome(
      JobOutcome outcome,
      String reason,
      long retryAt,
      long endedAt,
      boolean started,
      int lastRunNumber,
      long preventsUntil) {

    /** Creates the outcome of a job that was not refused or cancelled before. */
    Outcome(
        JobOutcome outcome,
        String reason,
        long retryAt,
        long endedAt,
        boolean started,
        int lastRunNumber) {
      this(
          outcome,
          reason,
          retryAt,
          endedAt,
          started,
          lastRunNumber,
          outcome == JobOutcome.REFUSED || outcome == JobOutcome.CANCELLED
              ? endedAt
              : Long.MIN_VALUE);
    }

    /** Creates the outcome of a job that this leader has not started. */
    static Outcome ofUnstarted(JobOutcome outcome, String reason, long retryAt, long endedAt) {
      return new Outcome(outcome, reason, retryAt, endedAt, false, 0);
    }

    /** Returns the delay after which a refused caller may retry, in milliseconds. */
    long retryAfterMillis(long now) {
      return Math.max(0, retryAt - now) / MICROS_PER_MILLI;
    }

    /** Returns whether the outcome answers all later submissions. */
    private boolean isFinal() {
      return outcome == JobOutcome.SUCCEEDED
          || outcome == JobOutcome.FAILED
          || outcome == JobOutcome.CANCELLED;
    }

    /** Returns this outcome as it is told again; it prevents what was sent before that. */
    private Outcome toldAgain(long now) {
      return new Outcome(outcome, reason, retryAt, now, started, lastRunNumber);
    }

    /** Returns this outcome, which still prevents what an earlier one does. */
    private Outcome after(Outcome earlier) {
      return new Outcome(
          outcome,
          reason,
          retryAt,
          endedAt,
          started || earlier.started,
          Math.max(lastRunNumber, earlier.lastRunNumber),
          Math.max(preventsUntil, earlier.preventsUntil));
    }
  }

  private final Map<JobId, Outcome> outcomes = new LinkedHashMap<>();

  /** When the last job ended whose refusal or cancellation is no longer remembered. */
  private long forgottenUntil = Long.MIN_VALUE;

  void add(JobId id, Outcome outcome) {
    Outcome earlier = outcomes.remove(id);
    outcomes.put(id, earlier == null ? outcome : outcome.after(earlier));
  }

  /** Records that a job that is not open was cancelled, unless it has completed before. */
  void addCancelled(JobId id, String reason, long now) {
    Outcome earlier = outcomes.get(id);
    if (earlier == null || !earlier.isFinal()) {
      add(id, Outcome.ofUnstarted(JobOutcome.CANCELLED, reason, now, now));
    }
  }

  /** Returns the outcome of a job; null if it is not known. */
  Outcome find(JobId id) {
    return outcomes.get(id);
  }

  /**
   * Returns the outcome that answers a submission, and that is told at this time; null if the job
   * may be started.
   *
   * @param heardAt when the last heartbeat was sent that the entry host had received from this
   *     leader
   */
  Outcome takeAnswer(JobId id, long heardAt, long now) {
    Outcome answer = findAnswer(id, heardAt);
    if (answer != null && answer.outcome() == JobOutcome.REFUSED) {
      add(id, answer.toldAgain(now));
    }
    return answer;
  }

  private Outcome findAnswer(JobId id, long heardAt) {
    Outcome known = outcomes.get(id);
    if (known == null) {
      return heardAt > forgottenUntil
          ? null
          : Outcome.ofUnstarted(JobOutcome.ABANDONED, "submitted too long ago", 0, forgottenUntil);
    }
    return known.isFinal() || heardAt <= known.preventsUntil() ? known : null;
  }

  /** Removes the outcomes that are too old or too many. */
  void prune(long now) {
    var oldest = outcomes.values().iterator();
    while (oldest.hasNext()) {
      Outcome outcome = oldest.next();
      boolean tooMany = outcomes.size() > MAX_OUTCOMES;
      if (!tooMany && now - outcome.endedAt() < RETENTION_MICROS) {
        return;
      }
      oldest.remove();
      forgottenUntil = Math.max(forgottenUntil, outcome.preventsUntil());
    }
  }
}
