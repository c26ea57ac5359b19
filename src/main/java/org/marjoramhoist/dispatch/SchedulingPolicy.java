package org.marjoramhoist.dispatch;

import java.util.Map;

/**
 * How a leader places tasks on workers and how it handles overload.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param placement how a worker is chosen for a task
 * @param overload how jobs are handled if not all of them can meet their objectives
 * @param fairShares whether caller groups that recently received less of their entitlement are
 *     preferred when load is shed
 * @param jobValues the relative value of a job of average size, by the priority of its request
 *     class
 * @param lateValue the value of a job that misses its objective, as a fraction of its full value
 * @param maxOpenTasks the most tasks of the jobs that a leader holds, which take memory
 * @param maxOpenBytes the most memory for the jobs that a leader holds, in bytes, by the estimate
 *     of {@link org.marjoramhoist.job.JobFootprint}
 */
public record SchedulingPolicy(
    Placement placement,
    Overload overload,
    boolean fairShares,
    Map<Integer, Double> jobValues,
    double lateValue,
    int maxOpenTasks,
    long maxOpenBytes) {

  /** The value of a job of average size whose priority has no configured value. */
  private static final double DEFAULT_JOB_VALUE = 1;

  /** The default value of a late job, as a fraction of its full value. */
  public static final double DEFAULT_LATE_VALUE = 0.2;

  /** The default bound on the tasks of open jobs. */
  public static final int DEFAULT_MAX_OPEN_TASKS = 60_000;

  /** The bound on the memory for jobs where the heap is not known, in bytes. */
  public static final long DEFAULT_MAX_OPEN_BYTES = 96L << 20;

  /** Strategies for choosing a worker for a task. */
  public enum Placement {
    /** Chooses the worker on which the task finishes first. */
    FASTEST,

    /**
     * Chooses the slowest worker on which the job still meets its objective, to keep fast workers
     * free.
     */
    SLACK
  }

  /** Strategies for handling overload. */
  public enum Overload {
    /** Keeps jobs queued until their firm deadline. */
    QUEUE,

    /** Immediately displaces or refuses the jobs whose delay or refusal costs the least value. */
    SHED
  }

  /** The default policy. */
  public static final SchedulingPolicy DEFAULT =
      new SchedulingPolicy(
          Placement.FASTEST,
          Overload.QUEUE,
          false,
          Map.of(),
          DEFAULT_LATE_VALUE,
          DEFAULT_MAX_OPEN_TASKS,
          DEFAULT_MAX_OPEN_BYTES);

  /** Creates a policy with the default bounds on open jobs. */
  public SchedulingPolicy(
      Placement placement,
      Overload overload,
      boolean fairShares,
      Map<Integer, Double> jobValues,
      double lateValue) {
    this(
        placement,
        overload,
        fairShares,
        jobValues,
        lateValue,
        DEFAULT_MAX_OPEN_TASKS,
        DEFAULT_MAX_OPEN_BYTES);
  }

  /** Creates a policy with a copy of the job values. */
  public SchedulingPolicy {
    jobValues = Map.copyOf(jobValues);
  }

  /** Returns a copy of this policy with the given placement. */
  public SchedulingPolicy withPlacement(Placement newPlacement) {
    return new SchedulingPolicy(
        newPlacement, overload, fairShares, jobValues, lateValue, maxOpenTasks, maxOpenBytes);
  }

  /** Returns a copy of this policy with the given bound on the memory for jobs. */
  public SchedulingPolicy withMaxOpenBytes(long newMaxOpenBytes) {
    return new SchedulingPolicy(
        placement, overload, fairShares, jobValues, lateValue, maxOpenTasks, newMaxOpenBytes);
  }

  /** Returns the value of a job of average size with the given priority. */
  public double jobValue(int priority) {
    return jobValues.getOrDefault(priority, DEFAULT_JOB_VALUE);
  }
}
