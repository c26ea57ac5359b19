package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.job.JobOutcome;

/**
 * What the jobs handed in to a fleet are worth to their callers, by their true run times.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class JobWorth {

  // Not shared with JobValues and WaitingOrder, so that an error there shows in the tests.
  private static final double FIXED_SHARE = 0.3;
  private static final double MAX_FACTOR = 4;
  private static final int FIRM_DEADLINE_FACTOR = 3;

  private record Item(double value, double work) {
    private double perWork() {
      return value / work;
    }
  }

  private final List<Item> items = new ArrayList<>();
  private final double earned;

  JobWorth(DispatchFleet fleet) {
    Map<String, Double> means = meanWork(fleet);
    double sum = 0;
    for (DispatchFleet.Offered job : fleet.offered()) {
      double relative = job.coreSeconds() / means.get(job.requestClass().name());
      double factor = Math.min(MAX_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * relative);
      double value = DemandingSite.JOB_VALUES.get(job.requestClass().priority()) * factor;
      items.add(new Item(value, job.coreSeconds()));
      sum += value * share(fleet, job);
    }
    earned = sum;
  }

  private static Map<String, Double> meanWork(DispatchFleet fleet) {
    Map<String, Double> sums = new HashMap<>();
    Map<String, Integer> counts = new HashMap<>();
    for (DispatchFleet.Offered job : fleet.offered()) {
      sums.merge(job.requestClass().name(), job.coreSeconds(), Double::sum);
      counts.merge(job.requestClass().name(), 1, Integer::sum);
    }
    sums.replaceAll((name, sum) -> sum / counts.get(name));
    return sums;
  }

  private static double share(DispatchFleet fleet, DispatchFleet.Offered job) {
    DispatchFleet.Ended end = fleet.ends().get(job.job().id());
    if (end == null || end.outcome() != JobOutcome.SUCCEEDED) {
      return 0;
    }
    long took = end.at() - job.arrivedAt();
    if (took <= job.objectiveMicros()) {
      return 1;
    }
    return took <= FIRM_DEADLINE_FACTOR * job.objectiveMicros()
        ? SchedulingPolicy.DEFAULT_LATE_VALUE
        : 0;
  }

  /** Returns the value of all jobs in time. */
  double offered() {
    return items.stream().mapToDouble(Item::value).sum();
  }

  /** Returns the value of the jobs as they ended. */
  double earned() {
    return earned;
  }

  /**
   * Returns the most that work of some core-seconds can be worth: the jobs of the highest value per
   * work, the last of them in part. No order of the jobs earns more.
   */
  double bestOf(double coreSeconds) {
    List<Item> best = new ArrayList<>(items);
    best.sort(Comparator.comparingDouble(Item::perWork).reversed());
    double left = coreSeconds;
    double sum = 0;
    for (Item item : best) {
      double taken = Math.min(left, item.work());
      sum += item.perWork() * taken;
      left -= taken;
    }
    return sum;
  }
}
