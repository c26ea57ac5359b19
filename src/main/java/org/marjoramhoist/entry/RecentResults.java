package org.marjoramhoist.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.message.HostMessage.Finished;

/**
 * The job results that this host recently sent to callers, and the durable jobs that it submitted.
 * A new leader does not know the results of earlier ones. With this cache, a caller that lost a
 * response and submits its job again gets the same result, and a job that may have run is never
 * reported as not run.
 *
 * <p>Bounded by age and size. Confined to one thread.
 */
final class RecentResults {

  private static final long RETENTION_MICROS = 30_000_000;
  private static final int MAX_RESULTS = 10_000;

  private record SentResult(Finished result, long expiresAt) {}

  private final Map<JobId, SentResult> sentResults = new LinkedHashMap<>();

  /**
   * Adds the result that is sent to the callers of a job. Refusals are not kept, as the job has not
   * run.
   */
  void add(Finished result, long now) {
    if (result.outcome() == JobOutcome.REFUSED) {
      return;
    }
    sentResults.remove(result.job());
    sentResults.put(result.job(), new SentResult(result, now + RETENTION_MICROS));
    Iterator<SentResult> oldest = sentResults.values().iterator();
    while (oldest.hasNext()
        && (oldest.next().expiresAt() <= now || sentResults.size() > MAX_RESULTS)) {
      oldest.remove();
    }
  }

  /** Records that a durable job is submitted to a leader, which may accept it. */
  void addSubmitted(JobId id, long now) {
    add(new Finished(id, JobOutcome.ABANDONED, "its acceptance is unknown", 0), now);
  }

  /** Records that the leader has refused a durable job. */
  void removeRefused(JobId id) {
    sentResults.remove(id);
  }

  /** Returns whether a job may have been accepted or run. */
  boolean mayHaveRun(JobId id, long now) {
    return find(id, now) != null;
  }

  /** Returns a job's result if it is final, or null if none is known. */
  Finished findFinal(JobId id, long now) {
    Finished result = find(id, now);
    return result != null && isFinal(result) ? result : null;
  }

  /** Returns whether a result stays valid even if the job is submitted again. */
  static boolean isFinal(Finished result) {
    return result.outcome() == JobOutcome.SUCCEEDED || result.outcome() == JobOutcome.FAILED;
  }

  /**
   * Returns the result to send, so that it does not contradict an earlier one: a refused job that
   * may have run before is reported as abandoned.
   */
  Finished reconcile(Finished result, long now) {
    return result.outcome() == JobOutcome.REFUSED && mayHaveRun(result.job(), now)
        ? new Finished(
            result.job(), JobOutcome.ABANDONED, result.reason() + "; was submitted before", 0)
        : result;
  }

  private Finished find(JobId id, long now) {
    SentResult sent = sentResults.get(id);
    return sent == null || sent.expiresAt() <= now ? null : sent.result();
  }
}
