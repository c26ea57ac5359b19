package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;

/**
 * The order in which waiting jobs get room: those that can still meet their objective with some
 * margin first, by a time between the latest start and the end of the objective; then the others,
 * by priority and that time.
 *
 * <p>Without the margin, under overload each job would get its room at the last moment and miss its
 * objective by what run times differ from their predictions.
 *
 * <p>Confined to one thread.
 */
final class WaitingOrder {

  private static final int LATE_FACTOR = 3;
  private static final double MICROS_PER_MILLI = 1_000.0;

  /** The margin of a job that counts as in time, as a share of what it has still to run. */
  private static final double MARGIN_SHARE = 0.5;

  private static final double MARGIN_MICROS = 10_000;

  /** How much of its run time a job must have left before its deadline when it starts. */
  private static final double DEADLINE_SHARE = 1.2;

  /** What storing the start and the end of a durable job takes, in microseconds. */
  private static final double STORE_MICROS = 20_000;

  /** How far the order lies between the latest start and the end of the objective. */
  private static final double ORDER_SHARE = 0.5;

  private final DurationModel durations;

  /** Whether estimates are trusted only as far as such estimates came true. */
  private final boolean weighsEstimates;

  /** Creates the order of jobs whose estimates are taken as they are. */
  WaitingOrder(DurationModel durations) {
    this(durations, false);
  }

  /**
   * Creates an order.
   *
   * @param weighsEstimates whether estimates are trusted only as far as such estimates came true
   */
  WaitingOrder(DurationModel durations, boolean weighsEstimates) {
    this.durations = durations;
    this.weighsEstimates = weighsEstimates;
  }

  /**
   * A job's place.
   *
   * @param late whether it can't be in time any more, or makes way for jobs that can
   * @param tier its place among those that are late; the least first
   * @param rank its place among those of its tier, or among those that are not late; the least
   *     first
   */
  record Place(Job job, boolean late, int tier, double rank) implements Comparable<Place> {

    @Override
    public int compareTo(Place other) {
      if (late != other.late) {
        return late ? 1 : -1;
      }
      int byTier = Integer.compare(tier, other.tier);
      return byTier != 0 ? byTier : Double.compare(rank, other.rank);
    }
  }

  /** Returns the places of jobs in their order. */
  List<Place> places(Collection<Job> jobs, long now) {
    List<Place> places = unsorted(jobs, now);
    Collections.sort(places);
    return places;
  }

  private List<Place> unsorted(Collection<Job> jobs, long now) {
    List<Place> places = new ArrayList<>(jobs.size());
    for (Job job : jobs) {
      places.add(place(job, now));
    }
    return places;
  }

  /** Returns the place of a job. */
  Place place(Job job, long now) {
    double left = chainMicros(job, job.remainingChainMillis());
    double latest = job.arrivedAt + objectiveMicros(job) - left;
    boolean late = latest - margin(job, left) < now;
    int tier = late ? job.requestClass().priority() : 0;
    return new Place(job, late, tier, latest + ORDER_SHARE * left);
  }

  private static double margin(Job job, double left) {
    return MARGIN_SHARE * left + MARGIN_MICROS + (job.isDurable() ? STORE_MICROS : 0);
  }

  /**
   * Returns the last start at which a job counts as in time.
   *
   * @param left how long the rest of it takes
   */
  double lastStart(Job job, double left) {
    double inTime = job.arrivedAt + objectiveMicros(job) - left - margin(job, left);
    return Math.min(inTime, job.deadline - DEADLINE_SHARE * left);
  }

  /** Returns how long a job may take within its objective. */
  double objectiveMicros(Job job) {
    return job.requestClass().stretch() * chainMicros(job, job.longestChainMillis())
        + job.requestClass().objectiveMillis() * MICROS_PER_MILLI;
  }

  /** Returns the predicted processor time that a whole job needs, times its cores. */
  double wholeWorkMicros(Job job) {
    long longest = job.longestChainMillis();
    return job.estimatedWork() * chainMicros(job, longest) / Math.max(1, longest);
  }

  /** Returns the processor time that the tasks need that may start now, times their cores. */
  double waitingCpuMicros(Job job) {
    double sum = 0;
    for (Task task : job.waitingTasks()) {
      sum += chainMicros(job, task.spec().estimateMillis()) * task.spec().need().cpuMillis();
    }
    return sum;
  }

  /** Returns how long a job takes that finds room at once. */
  double chainMicros(Job job) {
    return chainMicros(job, job.remainingChainMillis());
  }

  private double chainMicros(Job job, long estimateMillis) {
    String name = job.requestClass().name();
    double mean =
        weighsEstimates
            ? durations.likelyMicros(name, estimateMillis)
            : durations.predictMicros(name, estimateMillis);
    return mean * job.biasFactor();
  }

  /** Returns when a job's end stops being of use. */
  double lateLimit(Job job) {
    return Math.min(job.deadline, job.arrivedAt + LATE_FACTOR * objectiveMicros(job));
  }
}
