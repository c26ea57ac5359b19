package org.marjoramhoist.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Computes the value of jobs to their callers.
 *
 * <p>One part of the value depends only on the priority. The rest is proportional to the work of
 * the job, relative to the learned mean work of its request class. Confined to one thread.
 */
final class JobValues {

  /** The fraction of the value of an average job that does not depend on its work. */
  private static final double FIXED_SHARE = 0.3;

  /** Limits the value of a job that is far larger than the others of its class. */
  private static final double MAX_FACTOR = 4;

  /**
   * The ratio between the values of successive priorities if the settings define no values. It
   * exceeds the usual ratio between the work of jobs, so that a higher priority also implies a
   * higher value per unit of work.
   */
  private static final double PRIORITY_RATIO = 1_000;

  /**
   * The minimum weight of a new job in the mean work of its class; the n-th job has a weight of at
   * least 1/n.
   */
  private static final double MIN_WEIGHT = 0.02;

  private final SchedulingPolicy policy;
  private final ToDoubleFunction<Job> work;
  private final Map<String, MeanWork> meanWorkByClass = new HashMap<>();

  /** The mean work of the jobs of a class, with exponential decay. Confined to one thread. */
  private static final class MeanWork {
    private double mean;
    private long count;

    private void add(double work) {
      count++;
      mean += Math.max(MIN_WEIGHT, 1.0 / count) * (work - mean);
    }
  }

  /**
   * Creates the values.
   *
   * @param work computes the predicted work of all tasks of a job
   */
  JobValues(SchedulingPolicy policy, ToDoubleFunction<Job> work) {
    this.policy = policy;
    this.work = work;
  }

  /** Updates the mean work of the job's class with a new job. */
  void learn(Job job) {
    meanWorkByClass
        .computeIfAbsent(job.requestClass().name(), name -> new MeanWork())
        .add(work.applyAsDouble(job));
  }

  /** Returns the value of a job that meets its objective. */
  double value(Job job) {
    return value(job, work.applyAsDouble(job));
  }

  /**
   * Returns the value of a job that meets its objective.
   *
   * @param totalWork the predicted work of all tasks of the job
   */
  double value(Job job, double totalWork) {
    MeanWork meanWork = meanWorkByClass.get(job.requestClass().name());
    double relativeWork = meanWork == null ? 1 : totalWork / meanWork.mean;
    double factor = FIXED_SHARE + (1 - FIXED_SHARE) * relativeWork;
    return classValue(job.requestClass().priority()) * Math.min(MAX_FACTOR, factor);
  }

  /** Returns whether a job that misses its objective has any value. */
  boolean hasLateValue() {
    return policy.lateValue() > 0;
  }

  private double classValue(int priority) {
    return policy.jobValues().isEmpty()
        ? Math.pow(PRIORITY_RATIO, -priority)
        : policy.jobValue(priority);
  }
}
