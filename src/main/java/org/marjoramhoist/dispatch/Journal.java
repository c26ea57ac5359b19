package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.marjoramhoist.job.JobId;

/**
 * Groups the changes of durable jobs into batches, one on its way at a time.
 *
 * <p>Invariant: a batch holds what its jobs were when it was made; what changes later is in a later
 * one. Confined to one thread.
 */
final class Journal {

  /** What the store takes in one transaction, less what its conditions need. */
  private static final int MAX_BATCH_ENTRIES = 28;

  /** An ended job sets one key and deletes two. */
  private static final int ENTRIES_PER_END = 3;

  /** The least time between batches, so that changes share the store's calls. */
  private static final long MIN_BATCH_INTERVAL_MICROS = 8_000;

  /** How long ends of single tasks wait for a batch that leaves for another reason. */
  private static final long MAX_PROGRESS_DELAY_MICROS = 200_000;

  private static final long STALL_TIMEOUT_MICROS = 700_000;

  /**
   * What a batch holds of a job.
   *
   * @param holds the ends that workers may forget once it is stored
   * @param progress the progress in it; null if it holds the job as accepted
   */
  private record BatchedJob(Job job, List<CompletionHold> holds, JobProgress progress) {}

  private final Set<Job> acceptedJobs = new LinkedHashSet<>();
  private final Set<Job> endedJobs = new LinkedHashSet<>();
  private final Set<Job> progressedJobs = new LinkedHashSet<>();
  private final Set<JobId> deletedJobs = new LinkedHashSet<>();
  private final List<BatchedJob> batchedJobs = new ArrayList<>();
  private long batchNumber;
  private long sentAt;
  private long progressPendingSince;
  private boolean batchPending;

  /** Hears what a batch has stored. */
  interface Listener {
    /**
     * What is known of a job was stored.
     *
     * @param progress the progress that was stored; null if only the job itself was
     */
    void jobStored(Job job, JobProgress progress);
  }

  void add(Job job) {
    acceptedJobs.add(job);
  }

  /** Notes that the end of a job is to be stored. */
  void recordEnd(Job job) {
    progressedJobs.remove(job);
    endedJobs.add(job);
  }

  /** Notes that tasks of a job ended. */
  void recordProgress(Job job, long now) {
    if (!endedJobs.contains(job)) {
      if (progressedJobs.isEmpty()) {
        progressPendingSince = now;
      }
      progressedJobs.add(job);
    }
  }

  void delete(JobId id) {
    deletedJobs.add(id);
  }

  /** Tells whether the store has taken no batch for so long that new jobs can't be accepted. */
  boolean isStalled(long now) {
    return batchPending && now - sentAt > STALL_TIMEOUT_MICROS;
  }

  /** Makes the next batch if one is due. */
  void flush(long now, List<DispatchAction> out) {
    boolean pressing = !acceptedJobs.isEmpty() || !endedJobs.isEmpty();
    boolean due =
        pressing
            || !progressedJobs.isEmpty() && now - progressPendingSince > MAX_PROGRESS_DELAY_MICROS;
    if (batchPending
        || !due && deletedJobs.size() < MAX_BATCH_ENTRIES
        || now - sentAt < MIN_BATCH_INTERVAL_MICROS) {
      return;
    }
    out.add(new DispatchAction.Store(nextBatch()));
    batchPending = true;
    sentAt = now;
  }

  private JournalBatch nextBatch() {
    List<StoredJob> jobs = new ArrayList<>();
    for (Job job : removeFirst(acceptedJobs, MAX_BATCH_ENTRIES, job -> true)) {
      jobs.add(job.record());
      batchedJobs.add(new BatchedJob(job, List.of(), null));
    }
    Map<JobId, JobProgress> progress = new LinkedHashMap<>();
    int left = MAX_BATCH_ENTRIES - jobs.size();
    // A job that ends before it is stored needs two batches: one may not set and delete a key.
    List<Job> changed = removeFirst(endedJobs, left / ENTRIES_PER_END, job -> job.stored);
    final int ended = changed.size();
    left -= ended * ENTRIES_PER_END;
    changed.addAll(removeFirst(progressedJobs, left, job -> true));
    for (Job job : changed) {
      JobProgress now = job.progress();
      progress.put(job.id(), now);
      batchedJobs.add(new BatchedJob(job, job.removeUnstoredCompletions(), now));
    }
    left -= changed.size() - ended;
    List<JobId> gone = removeFirst(deletedJobs, left, id -> true);
    return new JournalBatch(++batchNumber, jobs, progress, gone);
  }

  private static <T> List<T> removeFirst(Set<T> from, int most, Predicate<T> ready) {
    List<T> taken = new ArrayList<>();
    for (T each : from) {
      if (taken.size() >= most) {
        break;
      }
      if (ready.test(each)) {
        taken.add(each);
      }
    }
    taken.forEach(from::remove);
    return taken;
  }

  /** Takes in that a batch is stored; lets workers forget the ends that it holds. */
  void confirmBatch(long batch, Listener listener) {
    if (!batchPending || batch != batchNumber) {
      return;
    }
    batchPending = false;
    List<BatchedJob> covered = List.copyOf(batchedJobs);
    batchedJobs.clear();
    for (BatchedJob each : covered) {
      each.holds().forEach(CompletionHold::release);
      if (each.progress() != null) {
        each.job().markProgressStored(each.progress());
      }
      if (each.progress() != null && each.progress().status().isTerminal()) {
        each.job().markEndStored();
      }
      listener.jobStored(each.job(), each.progress());
    }
  }
}
