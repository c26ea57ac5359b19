package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.dispatch.SchedulingPolicy;

/**
 * The workers and the load of a customer of {@code docs/design/hard-load.md}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param workers how many workers there are; one in three is large and fast
 * @param smallCores the cores of a small worker; a large one has half as many more
 * @param smallSpeed the speed of a small worker
 * @param largeSpeed the speed of a large worker
 * @param rackSize how many workers stand in a rack
 * @param farFactor how many times as long a task runs away from its data
 * @param longShare the share of the jobs that run far longer than estimated
 * @param kinds the kinds of jobs at the customer's rates
 */
record DemandingSite(
    int workers,
    int smallCores,
    double smallSpeed,
    double largeSpeed,
    int rackSize,
    double farFactor,
    double longShare,
    List<DispatchLoad.Kind> kinds) {

  private static final long MILLI_CORES = 1_000;
  private static final int SMALL_OF_THREE = 2;
  private static final double LARGE_TO_SMALL = 1.5;
  private static final double MOST_TO_MEAN_NEED = 1.5;
  private static final double NEAR_SHARE = 0.3;
  private static final double LONG_SHARE = 0.03;
  private static final double LONG_MEAN = 1 + 6 * LONG_SHARE;

  /** The customer whose callers at times compete for too little capacity. */
  static final DemandingSite SIMULATIONS =
      new DemandingSite(
          245,
          32,
          1,
          1.3,
          8,
          3,
          LONG_SHARE,
          List.of(
              kind("preview", 0, 127, 8, 51, 16, NEAR_SHARE),
              kind("simulate", 2, 23.1, 4, 760, 16, 0),
              kind("snapshot", 1, 370, 2, 170, 16, 0)));

  /** The customer with uneven demand on uneven workers. */
  static final DemandingSite CLAIMS =
      new DemandingSite(
          246,
          64,
          0.7,
          1.7,
          20,
          2,
          0,
          List.of(
              kind("snap", 0, 144, 8, 60, 32, NEAR_SHARE),
              kind("check", 2, 26.3, 4, 900, 32, 0),
              kind("redraw", 1, 420, 2, 200, 32, 0)));

  /** What a job of average size is worth to the customers' callers, by priority. */
  static final Map<Integer, Double> JOB_VALUES = Map.of(0, 4.85, 1, 1.67, 2, 26.7);

  private static DispatchLoad.Kind kind(
      String name,
      int priority,
      double perSecond,
      double tasks,
      double millis,
      int cores,
      double nearShare) {
    return new DispatchLoad.Kind(
        DispatchLoad.requestClass(name, priority, 3),
        perSecond,
        tasks,
        millis,
        cores * MILLI_CORES,
        (long) (MOST_TO_MEAN_NEED * cores * MILLI_CORES),
        nearShare);
  }

  /** Returns a fleet of its workers with a leader that knows them. */
  DispatchFleet fleet(SchedulingPolicy scheduling, long seed) {
    DispatchPolicy policy =
        new DispatchPolicy(
                DispatchFleet.POLICY.leaseMillis(),
                farFactor,
                DispatchFleet.POLICY.renewWaitMillis(),
                DispatchFleet.POLICY.retentionMillis())
            .withScheduling(scheduling);
    DispatchFleet fleet = new DispatchFleet(seed, policy);
    for (int i = 0; i < workers; i++) {
      fleet.addWorker(
          DispatchLoad.worker("w" + i, isLarge(i) ? "large" : "small", rack(i), cpuMillis(i)),
          1 / speed(i));
    }
    fleet.elect();
    return fleet;
  }

  /** Returns its load on a fleet at a share of the capacity. */
  DispatchLoad load(DispatchFleet fleet, double share, long seed) {
    return offer(fleet, kindsAt(share), seed);
  }

  /** Returns the same load with callers who wait for any time. */
  DispatchLoad patientLoad(DispatchFleet fleet, double share, long seed) {
    return offer(fleet, kindsAt(share).stream().map(DispatchLoad.Kind::patient).toList(), seed);
  }

  private DispatchLoad offer(DispatchFleet fleet, List<DispatchLoad.Kind> scaled, long seed) {
    return new DispatchLoad(fleet, scaled, racks(), seed).withLongShare(longShare);
  }

  private List<DispatchLoad.Kind> kindsAt(double share) {
    double usual = kinds.stream().mapToDouble(DispatchLoad.Kind::meanCores).sum();
    double mean = longShare > 0 ? usual * LONG_MEAN : usual;
    double factor = share * capacityCores() / mean;
    return kinds.stream().map(kind -> kind.times(factor)).toList();
  }

  /** Returns the cores of all workers, each times its speed. */
  double capacityCores() {
    double sum = 0;
    for (int i = 0; i < workers; i++) {
      sum += speed(i) * cpuMillis(i) / MILLI_CORES;
    }
    return sum;
  }

  private List<String> racks() {
    List<String> racks = new ArrayList<>();
    for (int i = 0; i < workers; i += rackSize) {
      racks.add(rack(i));
    }
    return racks;
  }

  private String rack(int worker) {
    return "r-" + worker / rackSize;
  }

  private static boolean isLarge(int worker) {
    return worker % (SMALL_OF_THREE + 1) == SMALL_OF_THREE;
  }

  private double speed(int worker) {
    return isLarge(worker) ? largeSpeed : smallSpeed;
  }

  private long cpuMillis(int worker) {
    return (long) (smallCores * (isLarge(worker) ? LARGE_TO_SMALL : 1) * MILLI_CORES);
  }
}
