package org.marjoramhoist.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;

/**
 * The outcomes of jobs that ended recently, and of those that were refused or cancelled before they
 * were accepted.
 *
 * <p>Invariant: once a job has been refused or cancelled, a submission that an entry host sent
 * before doesn't start it. A host states the last heartbeat that it had received; the answers of
 * the leader that precede a heartbeat are received before it. What is older than the outcomes that
 * are remembered is refused. Bounded by age and size. Confined to one thread.
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
   */
  record Outcome(
      JobOutcome outcome,
      String reason,
      long retryAt,
      long endedAt,
      boolean started,
      int lastRunNumber) {

    /** Creates the outcome of a job that this leader has not started. */
    static Outcome ofUnstarted(JobOutcome outcome, String reason, long retryAt, long endedAt) {
      return new Outcome(outcome, reason, retryAt, endedAt, false, 0);
    }

    /** Returns the delay after which a refused caller may retry, in milliseconds. */
    long retryAfterMillis(long now) {
      return Math.max(0, retryAt - now) / MICROS_PER_MILLI;
    }

    private boolean isFinal() {
      return outcome == JobOutcome.SUCCEEDED || outcome == JobOutcome.FAILED;
    }

    /** Returns whether the outcome promises that no earlier submission starts the job. */
    private boolean preventsStarts() {
      return outcome == JobOutcome.REFUSED || outcome == JobOutcome.CANCELLED;
    }
  }

  private final Map<JobId, Outcome> outcomes = new LinkedHashMap<>();

  /** When the last job ended whose refusal or cancellation is no longer remembered. */
  private long forgottenUntil = Long.MIN_VALUE;

  void add(JobId id, Outcome outcome) {
    outcomes.remove(id);
    outcomes.put(id, outcome);
  }

  /** Returns the outcome of a job; null if it is not known. */
  Outcome find(JobId id) {
    return outcomes.get(id);
  }

  /**
   * Returns the outcome that answers a submission; null if the job may be started.
   *
   * @param heardAt when the last heartbeat was sent that the entry host had received from this
   *     leader
   */
  Outcome findAnswer(JobId id, long heardAt) {
    Outcome known = outcomes.get(id);
    if (known == null) {
      return heardAt > forgottenUntil
          ? null
          : Outcome.ofUnstarted(JobOutcome.REFUSED, "submitted too long ago", 0, forgottenUntil);
    }
    boolean isEarlier = heardAt <= known.endedAt();
    return known.isFinal() || isEarlier && known.preventsStarts() ? known : null;
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
      if (outcome.preventsStarts()) {
        forgottenUntil = Math.max(forgottenUntil, outcome.endedAt());
      }
    }
  }
}
