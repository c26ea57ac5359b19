package org.marjoramhoist.experiment;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;

/**
 * Offers jobs of several classes to a {@link DispatchFleet} at random times.
 *
 * <p>Deterministic for a seed. Confined to one thread.
 */
final class DispatchLoad {

  /** The upstream of all jobs and workers. */
  static final String UPSTREAM = "reviews";

  /** What a job of average size is worth to the customers' callers, by priority. */
  static final Map<Integer, Double> JOB_VALUES = Map.of(0, 4.85, 1, 1.67, 2, 26.7);

  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double ESTIMATE_SPREAD = 0.4;
  private static final double SIZE_SPREAD = 0.4;
  private static final double CPU_SPREAD = 0.2;
  private static final long MEMORY_MIB = 64;
  private static final long PATIENCE_BASE_MICROS = 1_500_000;
  private static final int PATIENCE_OBJECTIVES = 3;
  private static final long PATIENT_MILLIS = 100_000;

  /** How many times as long as estimated a misjudged job runs. */
  private static final double MISJUDGED_FACTOR = 7;

  /**
   * A kind of job.
   *
   * @param requestClass its class
   * @param perSecond how many come a second
   * @param tasks the mean number of tasks
   * @param taskMillis the mean run time of a task on a worker of speed 1
   * @param cpuMillis the mean need of a task, in thousandths of a core
   * @param terms what else is drawn for its jobs
   */
  record Kind(
      RequestClass requestClass,
      double perSecond,
      double tasks,
      double taskMillis,
      double cpuMillis,
      Terms terms) {
    /** Creates a kind with the terms of the reviews. */
    Kind(
        RequestClass requestClass,
        double perSecond,
        double tasks,
        double taskMillis,
        double cpuMillis) {
      this(requestClass, perSecond, tasks, taskMillis, cpuMillis, Terms.REVIEWS);
    }

    /** Returns the same kind with callers who wait for any time. */
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
      return new Kind(patient, perSecond, tasks, taskMillis, cpuMillis, terms.patient());
    }
  }

  /**
   * What is drawn for jobs of a kind beside their size.
   *
   * @param mostTasks the most tasks of a job
   * @param mostCpuMillis the most that a task needs, in thousandths of a core
   * @param deadlineMillis how long callers wait; 0 if that grows with the objective
   * @param rackShare the share of the jobs that prefer a rack
   * @param misjudgedShare the share of the jobs that run many times as long as estimated
   */
  record Terms(
      int mostTasks,
      long mostCpuMillis,
      long deadlineMillis,
      double rackShare,
      double misjudgedShare) {
    private static final Terms REVIEWS = new Terms(Integer.MAX_VALUE, 10_000, 0, 1, 0);

    private Terms patient() {
      return new Terms(mostTasks, mostCpuMillis, 0, rackShare, misjudgedShare);
    }
  }

  /**
   * A customer with demanding load.
   *
   * @param kinds the kinds of its jobs, at its mean load
   * @param racks how many racks its workers stand in
   * @param farFactor how many times as long a task runs away from its data
   * @param addWorkers adds its workers to a fleet
   */
  record Customer(
      List<Kind> kinds, int racks, double farFactor, Consumer<DispatchFleet> addWorkers) {

    /** Returns the names of the racks. */
    List<String> rackNames() {
      return IntStream.range(0, racks).mapToObj(DispatchLoad::rack).toList();
    }

    /** Returns its kinds at another load. */
    List<Kind> kinds(double factor) {
      return kinds.stream().map(kind -> times(kind, factor)).toList();
    }

    private static Kind times(Kind kind, double factor) {
      return new Kind(
          kind.requestClass,
          kind.perSecond * factor,
          kind.tasks,
          kind.taskMillis,
          kind.cpuMillis,
          kind.terms);
    }
  }

  /** The callers of previews, simulations and snapshots. */
  static final Customer PREVIEWS =
      new Customer(previews(1), 31, 3, DispatchLoad::addPreviewWorkers);

  /** The callers of plots, checks of claims and redraws. */
  static final Customer BOUNDARIES =
      new Customer(boundaries(1), 13, 2, DispatchLoad::addBoundaryWorkers);

  private final DispatchFleet fleet;
  private final List<Kind> kinds;
  private final List<String> racks;
  private final SplittableRandom random;
  private double durableShare;
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
        new Kind(requestClass("check", 0, 3), 24.1 * factor, 8, 60, 6_800),
        new Kind(requestClass("rescore", 2, 4), 4.37 * factor, 4, 900, 6_800),
        new Kind(requestClass("lookup", 1, 3), 70 * factor, 2, 200, 6_800));
  }

  /** The previews, simulations and snapshots, with rates that are multiplied by a factor. */
  static List<Kind> previews(double factor) {
    return List.of(
        previewKind("preview", 0, 127 * factor, 8, 51, new Terms(32, 32_000, 1_546, 0.2, 0.03)),
        previewKind("simulate", 2, 23.1 * factor, 4, 760, new Terms(16, 32_000, 1_546, 0, 0.03)),
        previewKind("snapshot", 1, 370 * factor, 2, 170, new Terms(8, 32_000, 1_525, 0, 0.03)));
  }

  private static Kind previewKind(
      String name, int priority, double perSecond, int tasks, double millis, Terms terms) {
    return new Kind(demandingClass(name, priority), perSecond, tasks, millis, 16_000, terms);
  }

  /** The plots, checks and redraws, with rates that are multiplied by a factor. */
  static List<Kind> boundaries(double factor) {
    return List.of(
        boundaryKind("plot", 0, 144 * factor, 8, 60, new Terms(32, 64_000, 1_523, 0.2, 0)),
        boundaryKind("check", 2, 26.3 * factor, 4, 900, new Terms(16, 64_000, 1_532, 0, 0)),
        boundaryKind("redraw", 1, 420 * factor, 2, 200, new Terms(8, 64_000, 1_532, 0, 0)));
  }

  private static Kind boundaryKind(
      String name, int priority, double perSecond, int tasks, double millis, Terms terms) {
    return new Kind(demandingClass(name, priority), perSecond, tasks, millis, 32_000, terms);
  }

  private static RequestClass demandingClass(String name, int priority) {
    return new RequestClass(
        name, "reviews.example", "/" + name + "/", UPSTREAM, priority, 3, 1.6, 61, false);
  }

  /** Adds 245 workers, each third of which is larger and faster, in racks of eight. */
  static void addPreviewWorkers(DispatchFleet fleet) {
    addTwoSpeeds(fleet, 245, 8, 32_000, 1, 1.3);
  }

  /** Adds 246 workers, each third of which is larger and faster, in racks of twenty. */
  static void addBoundaryWorkers(DispatchFleet fleet) {
    addTwoSpeeds(fleet, 246, 20, 64_000, 0.7, 1.7);
  }

  private static void addTwoSpeeds(
      DispatchFleet fleet, int count, int rackSize, long cpu, double speed, double largeSpeed) {
    for (int i = 0; i < count; i++) {
      String rack = rack(i / rackSize);
      if (i % 3 == 2) {
        fleet.addWorker(worker("w" + i, "large", rack, cpu * 3 / 2), 1 / largeSpeed);
      } else {
        fleet.addWorker(worker("w" + i, "small", rack, cpu), 1 / speed);
      }
    }
  }

  private static String rack(int number) {
    return "r-" + number;
  }

  /** Adds 32 workers of two speeds and two sizes in racks of six. */
  static void addWorkers(DispatchFleet fleet) {
    for (int i = 0; i < 32; i++) {
      boolean fast = i % 3 == 2;
      long cpu = i % 4 == 3 ? 24_000 : 16_000;
      fleet.addWorker(worker("w" + i, fast ? "b" : "a", "r-" + i / 6, cpu), fast ? 0.6 : 1.4);
    }
  }

  /** Returns a worker of the upstream. */
  static WorkerInfo worker(String id, String kind, String rack, long cpuMillis) {
    return new WorkerInfo(
        id,
        UPSTREAM,
        "10.0.0.1:80",
        "domain-a",
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
    double millis = kind.taskMillis() * spread(SIZE_SPREAD);
    long estimate = Math.max(1, Math.round(millis * spread(ESTIMATE_SPREAD)));
    final int count = taskCount(kind);
    final long cpu =
        Math.min(kind.terms().mostCpuMillis(), Math.round(kind.cpuMillis() * spread(CPU_SPREAD)));
    final String rack = preferredRack(kind.terms());
    millis *= misjudgement(kind.terms());
    StepSpec step =
        new StepSpec(count, new Resources(cpu, MEMORY_MIB, 0), estimate, List.of(), "", rack, 0);
    JobId id = new JobId(String.format("%016x", ++made));
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
        now + patienceMicros(kind.terms(), objective));
  }

  private int taskCount(Kind kind) {
    long drawn = Math.round(kind.tasks() * spread(SIZE_SPREAD));
    return (int) Math.max(1, Math.min(kind.terms().mostTasks(), drawn));
  }

  private String preferredRack(Terms terms) {
    boolean none = racks.isEmpty() || terms.rackShare() == 0;
    if (none || terms.rackShare() < 1 && random.nextDouble() >= terms.rackShare()) {
      return "";
    }
    return racks.get(random.nextInt(racks.size()));
  }

  private double misjudgement(Terms terms) {
    boolean misjudged = terms.misjudgedShare() > 0 && random.nextDouble() < terms.misjudgedShare();
    return misjudged ? MISJUDGED_FACTOR : 1;
  }

  private static long patienceMicros(Terms terms, double objective) {
    if (terms.deadlineMillis() > 0) {
      return (long) (terms.deadlineMillis() * MICROS_PER_MILLI);
    }
    return PATIENCE_BASE_MICROS + (long) (PATIENCE_OBJECTIVES * objective);
  }

  private Set<JobFeature> features() {
    boolean durable = durableShare > 0 && random.nextDouble() < durableShare;
    return durable ? Set.of(JobFeature.DURABLE) : Set.of();
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
