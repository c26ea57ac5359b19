package org.marjoramhoist.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.TaskRef;

/**
 * Offers jobs of several classes to a {@link DispatchFleet} at random times.
 *
 * <p>Deterministic for a seed. Confined to one thread.
 */
final class DispatchLoad {

  /** The upstream of all jobs and workers. */
  static final String UPSTREAM = "reviews";

  /** The failure domains of the workers. */
  static final List<String> FAILURE_DOMAINS = List.of("domain-a", "domain-b");

  private static final String FAST_KIND = "b";
  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double ESTIMATE_SPREAD = 0.4;
  private static final double SIZE_SPREAD = 0.4;
  private static final double CPU_SPREAD = 0.2;
  private static final double LONG_FACTOR = 7;
  private static final long MOST_REVIEW_CPU_MILLIS = 10_000;
  private static final long MEMORY_MIB = 64;
  private static final long PATIENCE_BASE_MICROS = 1_500_000;
  private static final int PATIENCE_OBJECTIVES = 3;
  private static final long PATIENT_MILLIS = 3_600_000;

  /**
   * A kind of job.
   *
   * @param requestClass its class
   * @param perSecond how many come a second
   * @param tasks the mean number of tasks
   * @param taskMillis the mean run time of a task on a worker of speed 1
   * @param cpuMillis the mean need of a task, in thousandths of a core
   * @param mostCpuMillis the greatest need of a task
   * @param nearShare the share of the jobs that name the rack of their data, if there are racks
   */
  record Kind(
      RequestClass requestClass,
      double perSecond,
      double tasks,
      double taskMillis,
      double cpuMillis,
      long mostCpuMillis,
      double nearShare) {

    /** Returns the same kind at a multiple of its rate. */
    Kind times(double factor) {
      return new Kind(
          requestClass, perSecond * factor, tasks, taskMillis, cpuMillis, mostCpuMillis, nearShare);
    }

    /** Returns the same kind with callers who wait for any time and are all alike. */
    Kind patient() {
      RequestClass patient =
          new RequestClass(
              requestClass.name(),
              requestClass.authority(),
              requestClass.pathPrefix(),
              UPSTREAM,
              0,
              requestClass.attempts(),
              requestClass.stretch(),
              PATIENT_MILLIS,
              false);
      return new Kind(patient, perSecond, tasks, taskMillis, cpuMillis, mostCpuMillis, nearShare);
    }

    /** Returns the same kind for workers that start tasks beyond their capacity. */
    Kind unguarded() {
      RequestClass unguarded =
          new RequestClass(
              requestClass.name(),
              requestClass.authority(),
              requestClass.pathPrefix(),
              UPSTREAM,
              requestClass.priority(),
              requestClass.attempts(),
              requestClass.stretch(),
              requestClass.objectiveMillis(),
              false,
              true);
      return new Kind(unguarded, perSecond, tasks, taskMillis, cpuMillis, mostCpuMillis, nearShare);
    }

    /** Returns the mean work that its jobs bring, in cores of speed 1. */
    double meanCores() {
      double meanFactor = Math.exp(SIZE_SPREAD * SIZE_SPREAD + CPU_SPREAD * CPU_SPREAD / 2);
      return perSecond * tasks * taskMillis * cpuMillis * meanFactor / MICROS_PER_SECOND;
    }
  }

  private final DispatchFleet fleet;
  private final List<Kind> kinds;
  private final List<String> racks;
  private final SplittableRandom random;
  private double durableShare;
  private double longShare;
  private double crashingShare;
  private long made;

  /**
   * Creates a load.
   *
   * @param racks racks that hold the jobs' data, drawn for each job; empty for no preference
   */
  DispatchLoad(DispatchFleet fleet, List<Kind> kinds, List<String> racks, long seed) {
    this.fleet = fleet;
    this.kinds = List.copyOf(kinds);
    this.racks = List.copyOf(racks);
    this.random = new SplittableRandom(seed);
  }

  /** Makes a share of the jobs durable. */
  DispatchLoad withDurableShare(double share) {
    durableShare = share;
    return this;
  }

  /** Makes a share of the jobs run {@value #LONG_FACTOR} times as long as their kind tells. */
  DispatchLoad withLongShare(double share) {
    longShare = share;
    return this;
  }

  /**
   * Makes the first task of a share of the jobs of the first kind end each worker that starts it.
   */
  DispatchLoad withCrashingShare(double share) {
    crashingShare = share;
    return this;
  }

  /** Gives the jobs other numbers than those of another load of the same fleet. */
  DispatchLoad startingAt(long number) {
    made = number;
    return this;
  }

  /** Returns a class of request of the upstream. */
  static RequestClass requestClass(String name, int priority, int attempts) {
    return new RequestClass(
        name, "reviews.example", "/" + name + "/", UPSTREAM, priority, attempts, 1.6, 60, false);
  }

  /** The overdraft reviews, with rates that are multiplied by a factor. */
  static List<Kind> reviews(double factor) {
    return List.of(
        review(requestClass("check", 0, 3), 24.1 * factor, 8, 60),
        review(requestClass("rescore", 2, 4), 4.37 * factor, 4, 900),
        review(requestClass("lookup", 1, 3), 70 * factor, 2, 200));
  }

  private static Kind review(
      RequestClass requestClass, double perSecond, double tasks, double taskMillis) {
    return new Kind(requestClass, perSecond, tasks, taskMillis, 6_800, MOST_REVIEW_CPU_MILLIS, 1);
  }

  /** Adds 32 workers of two speeds and two sizes in racks of six. */
  static void addWorkers(DispatchFleet fleet) {
    for (int i = 0; i < 32; i++) {
      String kind = i % 3 == 2 ? FAST_KIND : "a";
      long cpu = i % 4 == 3 ? 24_000 : 16_000;
      fleet.addWorker(worker("w" + i, kind, "r-" + i / 6, cpu), slownessOf(kind));
    }
  }

  /** Returns how many times as long as on a worker of speed 1 tasks run on a kind of worker. */
  static double slownessOf(String kind) {
    return kind.equals(FAST_KIND) ? 0.6 : 1.4;
  }

  /** Returns a worker of the upstream. */
  static WorkerInfo worker(String id, String kind, String rack, long cpuMillis) {
    return new WorkerInfo(
        id,
        UPSTREAM,
        id + ":80",
        FAILURE_DOMAINS.get(Math.floorMod(id.hashCode(), FAILURE_DOMAINS.size())),
        new Resources(cpuMillis, 65_536, 0),
        kind,
        rack,
        Set.of(kind, rack),
        false,
        1);
  }

  /** Offers jobs until a time. */
  void offerUntil(long end) {
    for (Kind kind : kinds) {
      next(kind, end);
    }
  }

  private void next(Kind kind, long end) {
    double pause = -Math.log(1 - random.nextDouble()) * MICROS_PER_SECOND / kind.perSecond();
    long at = fleet.time().now() + (long) pause;
    if (at < end) {
      fleet
          .time()
          .at(
              at,
              () -> {
                fleet.submit(make(kind));
                next(kind, end);
              });
    }
  }

  /** Makes a job of a kind that arrives now. */
  DispatchFleet.Offered make(Kind kind) {
    double usual = kind.taskMillis() * spread(SIZE_SPREAD);
    long estimate = Math.max(1, Math.round(usual * spread(ESTIMATE_SPREAD)));
    double millis = isDrawn(longShare) ? usual * LONG_FACTOR : usual;
    int count = (int) Math.max(1, Math.round(kind.tasks() * spread(SIZE_SPREAD)));
    long cpu = Math.min(kind.mostCpuMillis(), Math.round(kind.cpuMillis() * spread(CPU_SPREAD)));
    String rack = drawRack(kind);
    StepSpec step =
        new StepSpec(count, new Resources(cpu, MEMORY_MIB, 0), estimate, List.of(), "", rack, 0);
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++made));
    if (kind == kinds.get(0) && isDrawn(crashingShare)) {
      fleet.crashingTasks().add(new TaskRef(id, 0, 0));
    }
    RequestClass requestClass = kind.requestClass();
    double objective =
        (requestClass.stretch() * millis + requestClass.objectiveMillis()) * MICROS_PER_MILLI;
    long now = fleet.time().now();
    return new DispatchFleet.Offered(
        new JobDescription(id, "payload", List.of(step), features()),
        requestClass,
        millis * MICROS_PER_MILLI,
        (long) objective,
        now,
        now + PATIENCE_BASE_MICROS + (long) (PATIENCE_OBJECTIVES * objective));
  }

  private Set<JobFeature> features() {
    return isDrawn(durableShare) ? Set.of(JobFeature.DURABLE) : Set.of();
  }

  private String drawRack(Kind kind) {
    boolean near = !racks.isEmpty() && (kind.nearShare() == 1 || isDrawn(kind.nearShare()));
    return near ? racks.get(random.nextInt(racks.size())) : "";
  }

  private boolean isDrawn(double share) {
    return share > 0 && random.nextDouble() < share;
  }

  /** Draws a factor around 1. */
  private double spread(double width) {
    double normal = 0;
    for (int i = 0; i < 12; i++) {
      normal += random.nextDouble();
    }
    return Math.exp((normal - 6) * width);
  }
}
