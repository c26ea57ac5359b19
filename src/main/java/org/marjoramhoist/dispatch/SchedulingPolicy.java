package org.marjoramhoist.dispatch;

import java.util.Map;

/**
 * How a leader uses the room of its workers, and what it does when there is too little.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param placement how a worker is chosen for a task
 * @param overload what becomes of jobs that can't all be in time
 * @param fairShares whether groups of callers that lately got less are preferred when jobs are shed
 * @param jobValues what a job of average size is worth to its caller, by the priority of its class
 * @param lateValue what a job that ends late is worth, as a share of what it is worth in time
 * @param workerHealth how workers that do badly are found
 */
public record SchedulingPolicy(
    Placement placement,
    Overload overload,
    boolean fairShares,
    Map<Integer, Double> jobValues,
    double lateValue,
    WorkerHealth workerHealth) {

  /** What a job is worth whose priority has no value of its own. */
  private static final double DEFAULT_VALUE = 1;

  /** The value of a late end where the settings name none. */
  public static final double DEFAULT_LATE_VALUE = 0.2;

  /** How a worker is chosen for a task. */
  public enum Placement {
    /** The worker on which the task ends first. */
    FASTEST,

    /** The slowest worker on which the job is still in time, so that fast ones stay free. */
    SLACK
  }

  /** What becomes of jobs that can't all be in time. */
  public enum Overload {
    /** They wait for as long as their end is of use. */
    QUEUE,

    /** Those whose delay or refusal costs their callers least make way at once. */
    SHED
  }

  /** How workers that do badly are found. */
  public enum WorkerHealth {
    /** By failures in a row. */
    STREAK,

    /** By the outcomes of their runs and orders, compared with those of other workers. */
    OUTCOMES
  }

  /** The policy where the settings ask for nothing else. */
  public static final SchedulingPolicy DEFAULT =
      new SchedulingPolicy(
          Placement.FASTEST,
          Overload.QUEUE,
          false,
          Map.of(),
          DEFAULT_LATE_VALUE,
          WorkerHealth.STREAK);

  /** Creates a policy with a copy of the values. */
  public SchedulingPolicy {
    jobValues = Map.copyOf(jobValues);
  }

  /** Returns the same policy with another choice of workers. */
  public SchedulingPolicy withPlacement(Placement next) {
    return new SchedulingPolicy(next, overload, fairShares, jobValues, lateValue, workerHealth);
  }

  /** Returns what a job of average size is worth to its caller. */
  public double jobValue(int priority) {
    return jobValues.getOrDefault(priority, DEFAULT_VALUE);
  }
}
