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
  private static final int MAX_ENTRIES = 28;

  /** An ended job sets one key and deletes two. */
  private static final int ENTRIES_OF_END = 3;

  /** The least time between batches, so that changes share the store's calls. */
  private static final long PACE_MICROS = 8_000;

  /** How long ends of single tasks wait for a batch that leaves for another reason. */
  private static final long LAZY_MICROS = 200_000;

  private static final long STALLED_MICROS = 700_000;

  /**
   * What a batch holds of a job.
   *
   * @param ends the ends that workers may forget once it is stored
   * @param progress the progress in it; null if it holds the job as accepted
   */
  private record Covered(Job job, List<CompletionHold> ends, JobProgress progress) {}

  private final Set<Job> added = new LinkedHashSet<>();
  private final Set<Job> urgent = new LinkedHashSet<>();
  private final Set<Job> lazy = new LinkedHashSet<>();
  private final Set<JobId> dropped = new LinkedHashSet<>();
  private final List<Covered> inFlight = new ArrayList<>();
  private long number;
  private long sentAt;
  private long lazySince;
  private boolean waiting;

  /** Hears what a batch has stored. */
  interface Listener {
    /**
     * What is known of a job was stored.
     *
     * @param progress the progress that was stored; null if only the job itself was
     */
    void stored(Job job, JobProgress progress);
  }

  void add(Job job) {
    added.add(job);
  }

  /** Notes that the end of a job is to be stored. */
  void ended(Job job) {
    lazy.remove(job);
    urgent.add(job);
  }

  /** Notes that tasks of a job ended. */
  void progressed(Job job, long now) {
    if (!urgent.contains(job)) {
      if (lazy.isEmpty()) {
        lazySince = now;
      }
      lazy.add(job);
    }
  }

  void drop(JobId id) {
    dropped.add(id);
  }

  /** Tells whether the store has taken no batch for so long that new jobs can't be accepted. */
  boolean isStalled(long now) {
    return waiting && now - sentAt > STALLED_MICROS;
  }

  /** Makes the next batch if one is due. */
  void flush(long now, List<DispatchAction> out) {
    boolean pressing = !added.isEmpty() || !urgent.isEmpty();
    boolean due = pressing || !lazy.isEmpty() && now - lazySince > LAZY_MICROS;
    if (waiting || !due && dropped.size() < MAX_ENTRIES || now - sentAt < PACE_MICROS) {
      return;
    }
    out.add(new DispatchAction.Store(nextBatch()));
    waiting = true;
    sentAt = now;
  }

  private JournalBatch nextBatch() {
    List<StoredJob> jobs = new ArrayList<>();
    for (Job job : take(added, MAX_ENTRIES, job -> true)) {
      jobs.add(job.record());
      inFlight.add(new Covered(job, List.of(), null));
    }
    Map<JobId, JobProgress> progress = new LinkedHashMap<>();
    int left = MAX_ENTRIES - jobs.size();
    // A job that ends before it is stored needs two batches: one may not set and delete a key.
    List<Job> changed = take(urgent, left / ENTRIES_OF_END, job -> job.stored);
    final int ended = changed.size();
    left -= ended * ENTRIES_OF_END;
    changed.addAll(take(lazy, left, job -> true));
    for (Job job : changed) {
      JobProgress now = job.progress();
      progress.put(job.id(), now);
      inFlight.add(new Covered(job, job.removeUnstoredCompletions(), now));
    }
    left -= changed.size() - ended;
    List<JobId> gone = take(dropped, left, id -> true);
    return new JournalBatch(++number, jobs, progress, gone);
  }

  private static <T> List<T> take(Set<T> from, int most, Predicate<T> ready) {
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
  void written(long batch, Listener listener) {
    if (!waiting || batch != number) {
      return;
    }
    waiting = false;
    List<Covered> covered = List.copyOf(inFlight);
    inFlight.clear();
    for (Covered each : covered) {
      each.ends().forEach(CompletionHold::release);
      if (each.progress() != null) {
        each.job().markProgressStored(each.progress());
      }
      if (each.progress() != null && each.progress().status().isTerminal()) {
        each.job().markEndStored();
      }
      listener.stored(each.job(), each.progress());
    }
  }
}
