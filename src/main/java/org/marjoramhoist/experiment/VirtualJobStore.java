package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramhoist.dispatch.DispatchEvent.EndedJob;
import org.marjoramhoist.dispatch.DispatchEvent.LoadedJob;
import org.marjoramhoist.dispatch.JobProgress;
import org.marjoramhoist.dispatch.JournalBatch;
import org.marjoramhoist.dispatch.RosterChange;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;

/**
 * Stored durable jobs and the stored roster in virtual time. Only the latest term that has claimed
 * the store may write.
 *
 * <p>Confined to one thread.
 */
final class VirtualJobStore {

  private final Map<JobId, StoredJob> records = new LinkedHashMap<>();
  private final Map<JobId, JobProgress> progress = new LinkedHashMap<>();
  private final Map<String, WorkerInfo> roster = new LinkedHashMap<>();
  private long writer;
  private int ordinal;

  /** Whether it answers nothing. */
  boolean down;

  /** Makes a term the only one that may write, and returns how many have claimed the store. */
  int claim(long term) {
    writer = Math.max(writer, term);
    return ++ordinal;
  }

  /** Returns the jobs that have not ended. */
  List<LoadedJob> loadOpen() {
    List<LoadedJob> jobs = new ArrayList<>();
    for (Map.Entry<JobId, StoredJob> each : records.entrySet()) {
      JobProgress known = progress.get(each.getKey());
      if (known == null || !known.status().isTerminal()) {
        jobs.add(new LoadedJob(each.getValue(), Optional.ofNullable(known)));
      }
    }
    return jobs;
  }

  /** Returns the jobs that have ended. */
  List<EndedJob> loadEnded() {
    List<EndedJob> jobs = new ArrayList<>();
    progress.forEach(
        (id, known) -> {
          if (known.status().isTerminal()) {
            jobs.add(new EndedJob(id, known.status(), known.endedMillis()));
          }
        });
    return jobs;
  }

  /** Stores a batch; tells whether the term may write. */
  boolean write(long term, JournalBatch batch) {
    if (term != writer) {
      return false;
    }
    batch.added().forEach(record -> records.put(record.job().id(), record));
    progress.putAll(batch.progress());
    batch.deleted().forEach(records::remove);
    batch.deleted().forEach(progress::remove);
    return true;
  }

  /** Returns the workers that a leader may have given work. */
  List<WorkerInfo> loadRoster() {
    return List.copyOf(roster.values());
  }

  /** Stores a change of the roster; tells whether the term may write. */
  boolean writeRoster(long term, RosterChange change) {
    if (term != writer) {
      return false;
    }
    change.added().forEach(worker -> roster.put(worker.id(), worker));
    change.removed().forEach(roster::remove);
    return true;
  }

  boolean holds(JobId id) {
    return records.containsKey(id);
  }

  /** Returns the stored status of a job; empty if it is not stored. */
  Optional<JobStatus> status(JobId id) {
    if (!records.containsKey(id)) {
      return Optional.empty();
    }
    JobProgress known = progress.get(id);
    return Optional.of(known == null ? JobStatus.PENDING : known.status());
  }
}
