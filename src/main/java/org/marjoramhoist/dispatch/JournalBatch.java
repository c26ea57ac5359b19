package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Map;
import org.marjoramhoist.job.JobId;

/**
 * Changes of durable jobs that are stored together.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number counts the batches of a term, from 1
 * @param added jobs to be stored for the first time
 * @param progress what has changed of jobs; of one that has ended, only that is kept
 * @param deleted ended jobs to be forgotten
 */
public record JournalBatch(
    long number, List<StoredJob> added, Map<JobId, JobProgress> progress, List<JobId> deleted) {

  /** Creates a batch with copies of the collections. */
  public JournalBatch {
    added = List.copyOf(added);
    progress = Map.copyOf(progress);
    deleted = List.copyOf(deleted);
  }
}
