package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which waiting jobs get room: those that can still meet their objective first, by the
 * time at which they must start for that; then the others, by priority and arrival.
 *
 * <p>Confined to one thread.
 */
final class WaitingOrder {

  private static final int LATE_FACTOR = 3;
  private static final double MICROS_PER_MILLI = 1_000.0;

  private final DurationModel durations;

  WaitingOrder(DurationModel durations) {
    this.durations = durations;
  }

  private record Place(Job job, boolean late, double latestStart) {}

  private static final Comparator<Place> ORDER =
      Comparator.comparing(Place::late)
          .thenComparingInt(place -> place.late() ? place.job().requestClass().priority() : 0)
          .thenComparingDouble(Place::latestStart);

  /** Returns the jobs in their order. */
  List<Job> sort(Collection<Job> jobs, long now) {
    List<Place> places = new ArrayList<>(jobs.size());
    for (Job job : jobs) {
      double latest = latestStart(job);
      places.add(new Place(job, latest < now, latest));
    }
    places.sort(ORDER);
    return places.stream().map(Place::job).toList();
  }

  /** Returns the time by which the next tasks of a job must start to meet its objective. */
  double latestStart(Job job) {
    return job.arrivedAt + objectiveMicros(job) - chainMicros(job, job.remainingChainMillis());
  }

  /** Returns how long a job may take within its objective. */
  double objectiveMicros(Job job) {
    return job.requestClass().stretch() * chainMicros(job, job.longestChainMillis())
        + job.requestClass().objectiveMillis() * MICROS_PER_MILLI;
  }

  private double chainMicros(Job job, long estimateMillis) {
    double mean = durations.predictMicros(job.requestClass().name(), estimateMillis);
    return mean * Math.exp(job.bias);
  }

  /** Returns when a job's end stops being of use. */
  double lateLimit(Job job) {
    return Math.min(job.deadline, job.arrivedAt + LATE_FACTOR * objectiveMicros(job));
  }
}
