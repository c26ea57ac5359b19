package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Map;
import org.marjoramhoist.job.JobId;

/**
 * Changes of durable jobs that are stored together.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number the sequence number in the term, from 1
 * @param added jobs that are stored for the first time
 * @param progress the changed progress of jobs; it replaces the record of a job that has ended
 * @param deleted ended jobs to delete
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
