package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.marjoramhoist.dispatch.JobProgress;
import org.marjoramhoist.dispatch.JournalBatch;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.KeyValueClient.Put;

/**
 * The storage format of durable jobs: an open job has one key for its immutable data and one for
 * its progress, an ended job has a single short key.
 *
 * <p>Stateless and thread-safe.
 */
final class JobRecords {

  /** The prefix of all keys; hosts do not watch it. */
  static final String ROOT = "marjoramhoist.jobs/";

  /** The prefix of the accepted descriptions of open jobs. */
  static final String RECORDS = ROOT + "record/";

  /** The prefix of the progress of open jobs. */
  static final String PROGRESS = ROOT + "progress/";

  /** The prefix of the final statuses and end times of jobs. */
  static final String ENDED = ROOT + "ended/";

  private JobRecords() {}

  /** Returns the keys that a batch sets. */
  static List<Put> puts(JournalBatch batch) {
    List<Put> puts = new ArrayList<>();
    for (StoredJob job : batch.added()) {
      puts.add(new Put(RECORDS + job.job().id(), JsonText.of(job), 0));
    }
    for (Map.Entry<JobId, JobProgress> each : batch.progress().entrySet()) {
      JobProgress progress = each.getValue();
      if (progress.status().isTerminal()) {
        String value = progress.status() + " " + progress.endedMillis();
        puts.add(new Put(ENDED + each.getKey(), value, 0));
      } else {
        puts.add(new Put(PROGRESS + each.getKey(), JsonText.of(progress), 0));
      }
    }
    return puts;
  }

  /** Returns the keys that a batch deletes. */
  static List<String> deletes(JournalBatch batch) {
    List<String> keys = new ArrayList<>();
    for (Map.Entry<JobId, JobProgress> each : batch.progress().entrySet()) {
      if (each.getValue().status().isTerminal()) {
        keys.add(RECORDS + each.getKey());
        keys.add(PROGRESS + each.getKey());
      }
    }
    for (JobId id : batch.deleted()) {
      keys.add(ENDED + id);
    }
    return keys;
  }
}
