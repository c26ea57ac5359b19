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
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.platform.KeyValueClient.Item;

/**
 * The durable jobs of earlier leaders, read item by item.
 *
 * <p>Invariant: of an item that was read only the job is held, never its text, so that loading
 * takes no more memory than holding the jobs. To be used by one thread at a time.
 */
final class StoredJobs {

  private final Map<String, Optional<JobProgress>> progressById = new HashMap<>();
  private final Map<RequestClass, RequestClass> classes = new HashMap<>();
  private final List<LoadedJob> open = new ArrayList<>();
  private final List<EndedJob> ended = new ArrayList<>();

  /** Adds a job that has ended; an invalid one is logged and skipped. */
  void addEnded(Item item) {
    String[] parts = item.value().split(" ");
    try {
      JobId id = new JobId(item.key().substring(JobRecords.ENDED.length()));
      ended.add(new EndedJob(id, JobStatus.valueOf(parts[0]), Long.parseLong(parts[1])));
    } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
      EventLog.warn(LogEvent.STORED_JOB_INVALID, "key={} reason={}", item.key(), e.toString());
    }
  }

  /**
   * Adds the progress of a job, to be called before its record is added. Invalid progress is
   * logged, and its job counts as one whose progress is unknown.
   */
  void addProgress(Item item) {
    String id = item.key().substring(JobRecords.PROGRESS.length());
    progressById.put(id, read(item, JobProgress.class));
  }

  /** Adds an open job; an invalid one is logged and skipped. */
  void addRecord(Item item) {
    String id = item.key().substring(JobRecords.RECORDS.length());
    read(item, StoredJob.class)
        .filter(found -> checkUsable(StoredJobCheck.isUsable(found, id), item.key()))
        .map(this::withSharedClass)
        .ifPresent(found -> open.add(loaded(found, progressById.remove(id))));
  }

  /** Returns the job with the same object for its class as others of the class have. */
  private StoredJob withSharedClass(StoredJob record) {
    RequestClass own = record.requestClass();
    RequestClass shared = classes.computeIfAbsent(own, each -> own);
    return new StoredJob(record.job(), shared, record.acceptedMillis());
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
                    StoredJobCheck.isUsable(found, record.job()),
                    JobRecords.PROGRESS + record.job().id()));
    return new LoadedJob(record, usable, usable.isPresent());
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

  /** Returns the open jobs that were added. */
  List<LoadedJob> open() {
    return open;
  }

  /** Returns the jobs that were added which have ended. */
  List<EndedJob> ended() {
    return ended;
  }
}
