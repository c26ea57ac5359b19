package org.marjoramhoist.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramhoist.dispatch.DispatchEvent.EndedJob;
import org.marjoramhoist.dispatch.DispatchEvent.LoadedJob;
import org.marjoramhoist.dispatch.JobProgress;
import org.marjoramhoist.dispatch.JournalBatch;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.platform.KeyValueClient.Item;
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

  /**
   * Reads the open jobs. An invalid record is logged and skipped; invalid progress is logged, and
   * its job is returned as one whose progress is unknown.
   */
  static List<LoadedJob> readOpen(List<Item> records, List<Item> progress) {
    Map<String, Optional<JobProgress>> progressById = new HashMap<>();
    for (Item item : progress) {
      progressById.put(item.key().substring(PROGRESS.length()), read(item, JobProgress.class));
    }
    List<LoadedJob> jobs = new ArrayList<>();
    for (Item item : records) {
      String id = item.key().substring(RECORDS.length());
      read(item, StoredJob.class)
          .filter(found -> checkUsable(StoredJobCheck.isUsable(found, id), item.key()))
          .ifPresent(found -> jobs.add(loaded(found, progressById.get(id))));
    }
    return jobs;
  }

  private static boolean checkUsable(boolean isUsable, String key) {
    if (!isUsable) {
      EventLog.warn(LogEvent.STORED_JOB_INVALID, "key={} reason=values out of range", key);
    }
    return isUsable;
  }

  /**
   * Returns a job with its progress, which is null if none is stored and empty if it is invalid.
   */
  private static LoadedJob loaded(StoredJob record, Optional<JobProgress> progress) {
    if (progress == null) {
      return new LoadedJob(record, Optional.empty());
    }
    Optional<JobProgress> usable =
        progress.filter(
            found ->
                checkUsable(
                    StoredJobCheck.isUsable(found, record.job()), PROGRESS + record.job().id()));
    return new LoadedJob(record, usable, usable.isPresent());
  }

  /** Reads the jobs that have ended; an invalid one is logged and skipped. */
  static List<EndedJob> readEnded(List<Item> items) {
    List<EndedJob> jobs = new ArrayList<>();
    for (Item item : items) {
      String[] parts = item.value().split(" ");
      try {
        JobId id = new JobId(item.key().substring(ENDED.length()));
        jobs.add(new EndedJob(id, JobStatus.valueOf(parts[0]), Long.parseLong(parts[1])));
      } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
        EventLog.warn(LogEvent.STORED_JOB_INVALID, "key={} reason={}", item.key(), e.toString());
      }
    }
    return jobs;
  }

  private static <T> Optional<T> read(Item item, Class<T> type) {
    try {
      return Optional.ofNullable(JsonText.MAPPER.readValue(item.value(), type));
    } catch (JsonProcessingException e) {
      EventLog.warn(
          LogEvent.STORED_JOB_INVALID, "key={} reason={}", item.key(), e.getOriginalMessage());
      return Optional.empty();
    }
  }
}
