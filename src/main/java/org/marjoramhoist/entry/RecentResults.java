package org.marjoramhoist.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.message.HostMessage.Finished;

/**
 * What callers of this host were lately told of their jobs. Leaders change and forget; a caller
 * whose answer was lost and that hands its job in again gets the same answer, and one whose job may
 * have run is never told that it has not.
 *
 * <p>Bounded in time and number. Confined to one thread.
 */
final class RecentResults {

  private static final long RETENTION_MICROS = 30_000_000;
  private static final int MAX_RESULTS = 10_000;

  private record SentResult(Finished result, long expiresAt) {}

  private final Map<JobId, SentResult> sentResults = new LinkedHashMap<>();

  /** Takes in what callers are told of a job; that it has not run need not be remembered. */
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

  /** Returns the answer that a job has once and for all; null if none is known. */
  Finished findFinal(JobId id, long now) {
    Finished result = find(id, now);
    boolean isFinal =
        result != null
            && (result.outcome() == JobOutcome.SUCCEEDED || result.outcome() == JobOutcome.FAILED);
    return isFinal ? result : null;
  }

  /** Returns an end as its callers are to be told it, by what they were told before. */
  Finished reconcile(Finished result, long now) {
    boolean mayHaveRun = result.outcome() == JobOutcome.REFUSED && find(result.job(), now) != null;
    return mayHaveRun
        ? new Finished(
            result.job(), JobOutcome.ABANDONED, result.reason() + "; was handed in before", 0)
        : result;
  }

  private Finished find(JobId id, long now) {
    SentResult sent = sentResults.get(id);
    return sent == null || sent.expiresAt() <= now ? null : sent.result();
  }
}
