package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.marjoramhoist.job.JobId;

/**
 * Groups the changes of durable jobs into batches, of which one is being stored at a time.
 *
 * <p>Invariants: a batch holds the state of its jobs at its creation; later changes are in a later
 * batch. What the store refuses holds up no other job: the jobs of a refused batch are stored one
 * by one. A job is blamed for a refusal only once the store has taken a batch without any job after
 * it. Confined to one thread.
 */
final class Journal {

  /**
   * The most entries of a batch: the store's limit for a transaction, less the entries for its
   * conditions.
   */
  private static final int MAX_BATCH_ENTRIES = 28;

  /** An ended job sets one key and deletes two. */
  private static final int ENTRIES_PER_END = 3;

  /** The least time between batches, so that changes share calls to the store. */
  private static final long MIN_BATCH_INTERVAL_MICROS = 8_000;

  /** How long the progress of open jobs may wait for a batch that is sent for another reason. */
  private static final long MAX_PROGRESS_DELAY_MICROS = 200_000;

  private static final long STALL_TIMEOUT_MICROS = 700_000;

  /** How long what the store has refused waits until it is tried again, if it is. */
  private static final long RETRY_MICROS = 1_000_000;

  /**
   * A job in a batch.
   *
   * @param holds the completions that may be acknowledged once the batch is stored
   * @param progress the stored progress; null if the batch holds the accepted job
   */
  private record BatchedJob(Job job, List<CompletionHold> holds, JobProgress progress) {}

  private final Set<Job> acceptedJobs = new LinkedHashSet<>();
  private final Set<Job> endedJobs = new LinkedHashSet<>();
  private final Set<Job> progressedJobs = new LinkedHashSet<>();
  private final Set<JobId> deletedJobs = new LinkedHashSet<>();
  private final List<BatchedJob> batchedJobs = new ArrayList<>();
  private final List<JobId> batchedDeletions = new ArrayList<>();

  /** The jobs of refused batches, each to be stored by itself, and when at the earliest. */
  private final Map<Job, Long> separate = new LinkedHashMap<>();

  /**
   * What the store has refused though it was alone in its batch; null if there is nothing. The next
   * batch has no job then, to show whether the store takes any.
   */
  private BatchedJob accused;

  private String accusation;

  /** Whether the store has refused such a batch, and taken none since. */
  private boolean refusesAll;

  private long pausedUntil;
  private long batchNumber;
  private long sentAt;
  private long progressPendingSince;
  private boolean batchPending;
  private boolean progressIsUrgent;

  /** Receives what a batch has stored. */
  interface Listener {
    /**
     * A job or its progress was stored.
     *
     * @param progress the progress that was stored; null if the job itself was
     */
    void jobStored(Job job, JobProgress progress);

    /**
     * The store refuses a job or its progress, which is not tried again; the end of a job is.
     *
     * @param progress the progress that was refused; null if the job itself was
     * @param reason what the store said, for logs
     */
    void jobRefused(Job job, JobProgress progress, String reason);
  }

  void add(Job job) {
    acceptedJobs.add(job);
  }

  /** Records that the end of a job is to be stored. */
  void recordEnd(Job job) {
    progressedJobs.remove(job);
    if (!isStoredSeparately(job)) {
      endedJobs.add(job);
    }
  }

  /** Tells whether the state of a stored job is to be in a batch of its own. */
  private boolean isStoredSeparately(Job job) {
    return job.stored && separate.containsKey(job);
  }

  /** Forgets a job that is not stored and never will be. */
  void forget(Job job) {
    acceptedJobs.remove(job);
    endedJobs.remove(job);
    separate.remove(job);
  }

  /** Records that tasks of a job completed. */
  void recordProgress(Job job, long now) {
    if (!endedJobs.contains(job) && !isStoredSeparately(job)) {
      if (progressedJobs.isEmpty()) {
        progressPendingSince = now;
      }
      progressedJobs.add(job);
    }
  }

  /** Records progress of a job that must not wait for other changes. */
  void recordUrgentProgress(Job job, long now) {
    recordProgress(job, now);
    progressIsUrgent = true;
  }

  void delete(JobId id) {
    deletedJobs.add(id);
  }

  /**
   * Tells whether the store has confirmed no batch for so long that new jobs cannot be accepted.
   */
  boolean isStalled(long now) {
    return refusesAll || batchPending && now - sentAt > STALL_TIMEOUT_MICROS;
  }

  /** Creates the next batch if one is due. */
  void flush(long now, List<DispatchAction> out) {
    boolean urgent = progressIsUrgent || !acceptedJobs.isEmpty() || !endedJobs.isEmpty();
    boolean due =
        urgent
            || !progressedJobs.isEmpty() && now - progressPendingSince > MAX_PROGRESS_DELAY_MICROS;
    if (batchPending || now - sentAt < MIN_BATCH_INTERVAL_MICROS || now < pausedUntil) {
      return;
    }
    Optional<Job> alone = nextAlone(now);
    if (accused != null) {
      send(new JournalBatch(++batchNumber, List.of(), Map.of(), List.of()), now, out);
    } else if (alone.isPresent()) {
      send(batchOf(alone.get()), now, out);
    } else if (due || deletedJobs.size() >= MAX_BATCH_ENTRIES) {
      send(nextBatch(), now, out);
      progressIsUrgent = !progressedJobs.isEmpty() && progressIsUrgent;
    }
  }

  private Optional<Job> nextAlone(long now) {
    return separate.entrySet().stream()
        .filter(each -> each.getValue() <= now)
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private void send(JournalBatch batch, long now, List<DispatchAction> out) {
    out.add(new DispatchAction.Store(batch));
    batchPending = true;
    sentAt = now;
  }

  /** Returns the batch that stores the present state of one job and nothing else. */
  private JournalBatch batchOf(Job job) {
    separate.remove(job);
    if (!job.stored) {
      return new JournalBatch(++batchNumber, List.of(takeRecord(job)), Map.of(), List.of());
    }
    Map<JobId, JobProgress> progress = Map.of(job.id(), takeProgress(job));
    return new JournalBatch(++batchNumber, List.of(), progress, List.of());
  }

  /** Puts the record of a job into the next batch. */
  private StoredJob takeRecord(Job job) {
    batchedJobs.add(new BatchedJob(job, List.of(), null));
    return job.record();
  }

  /** Puts the present progress of a job into the next batch. */
  private JobProgress takeProgress(Job job) {
    JobProgress current = job.progress();
    batchedJobs.add(new BatchedJob(job, job.removeUnstoredCompletions(), current));
    return current;
  }

  private JournalBatch nextBatch() {
    List<StoredJob> jobs = new ArrayList<>();
    for (Job job : removeFirst(acceptedJobs, MAX_BATCH_ENTRIES, job -> true)) {
      jobs.add(takeRecord(job));
    }
    Map<JobId, JobProgress> progress = new LinkedHashMap<>();
    int remaining = MAX_BATCH_ENTRIES - jobs.size();
    // A job that ends before it is stored needs two batches: one may not set and delete a key.
    List<Job> changed = removeFirst(endedJobs, remaining / ENTRIES_PER_END, job -> job.stored);
    final int ended = changed.size();
    remaining -= ended * ENTRIES_PER_END;
    changed.addAll(removeFirst(progressedJobs, remaining, job -> true));
    for (Job job : changed) {
      progress.put(job.id(), takeProgress(job));
    }
    remaining -= changed.size() - ended;
    List<JobId> deleted = removeFirst(deletedJobs, remaining, id -> true);
    batchedDeletions.addAll(deleted);
    return new JournalBatch(++batchNumber, jobs, progress, deleted);
  }

  private static <T> List<T> removeFirst(Set<T> from, int limit, Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (T each : from) {
      if (removed.size() >= limit) {
        break;
      }
      if (condition.test(each)) {
        removed.add(each);
      }
    }
    removed.forEach(from::remove);
    return removed;
  }

  /**
   * Handles the confirmation that a batch is stored: the completions that it holds may be
   * acknowledged.
   */
  void confirmBatch(long batch, long now, Listener listener) {
    if (!batchPending || batch != batchNumber) {
      return;
    }
    batchPending = false;
    refusesAll = false;
    batchedDeletions.clear();
    if (accused != null) {
      blame(now, listener);
    }
    List<BatchedJob> stored = List.copyOf(batchedJobs);
    batchedJobs.clear();
    for (BatchedJob each : stored) {
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

  /** The store takes batches, and yet refused the accused job: its content is at fault. */
  private void blame(long now, Listener listener) {
    BatchedJob refused = accused;
    accused = null;
    JobProgress progress = refused.progress();
    if (progress != null && progress.status().isTerminal()) {
      separate(refused.job(), now + RETRY_MICROS);
    }
    listener.jobRefused(refused.job(), progress, accusation);
  }

  /**
   * Handles that the store has refused a batch. If that had several jobs, each is stored by itself;
   * if it had one, a batch without any shows whether the job is at fault; if it had none, the store
   * refuses all, and what it refused is tried again later.
   */
  void refuseBatch(long batch, String reason, long now) {
    if (!batchPending || batch != batchNumber) {
      return;
    }
    batchPending = false;
    List<BatchedJob> refused = List.copyOf(batchedJobs);
    batchedJobs.clear();
    refused.forEach(each -> each.job().addUnstoredCompletions(each.holds()));
    if (accused != null) {
      refusesAll = true;
      pausedUntil = now + RETRY_MICROS;
      separate(accused.job(), pausedUntil);
      accused = null;
    } else if (refused.size() == 1) {
      accused = refused.get(0);
      accusation = reason;
    } else {
      refused.forEach(each -> separate(each.job(), now));
    }
    // Deletions alone are left to the next leader.
    if (!refused.isEmpty()) {
      deletedJobs.addAll(batchedDeletions);
    }
    batchedDeletions.clear();
  }

  private void separate(Job job, long notBefore) {
    separate.put(job, notBefore);
    if (job.stored) {
      progressedJobs.remove(job);
      endedJobs.remove(job);
    }
  }
}
