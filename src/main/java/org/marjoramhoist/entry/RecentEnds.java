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
final class RecentEnds {

  private static final long REMEMBER_MICROS = 30_000_000;
  private static final int MOST_REMEMBERED = 10_000;

  private record Told(Finished end, long until) {}

  private final Map<JobId, Told> told = new LinkedHashMap<>();

  /** Takes in what callers are told of a job; that it has not run need not be remembered. */
  void add(Finished end, long now) {
    if (end.outcome() == JobOutcome.REFUSED) {
      return;
    }
    told.remove(end.job());
    told.put(end.job(), new Told(end, now + REMEMBER_MICROS));
    Iterator<Told> oldest = told.values().iterator();
    while (oldest.hasNext() && (oldest.next().until() <= now || told.size() > MOST_REMEMBERED)) {
      oldest.remove();
    }
  }

  /** Returns the answer that a job has once and for all; null if none is known. */
  Finished finalEnd(JobId id, long now) {
    Finished end = find(id, now);
    boolean isFinal =
        end != null
            && (end.outcome() == JobOutcome.SUCCEEDED || end.outcome() == JobOutcome.FAILED);
    return isFinal ? end : null;
  }

  /** Returns an end as its callers are to be told it, by what they were told before. */
  Finished honest(Finished end, long now) {
    boolean mayHaveRun = end.outcome() == JobOutcome.REFUSED && find(end.job(), now) != null;
    return mayHaveRun
        ? new Finished(end.job(), JobOutcome.ABANDONED, end.reason() + "; was handed in before", 0)
        : end;
  }

  private Finished find(JobId id, long now) {
    Told known = told.get(id);
    return known == null || known.until() <= now ? null : known.end();
  }
}
