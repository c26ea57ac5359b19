package org.marjoramhoist.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * What jobs are worth to their callers.
 *
 * <p>A part of the value is the same for all jobs of a priority, the rest is proportional to the
 * job's work relative to the learned mean of its class of request. Confined to one thread.
 */
final class JobValues {

  private static final double FIXED_SHARE = 0.3;
  private static final double LARGEST_FACTOR = 4;

  /**
   * How many times the value of the next priority one has where the settings name no values. It
   * exceeds what the work of jobs commonly differs by, so that also the value per work of the
   * earlier priority is the higher one.
   */
  private static final double PRIORITY_RATIO = 1_000;

  /** The least share of a newcomer in the mean work of its class; 1 of n for the first ones. */
  private static final double LEAST_SHARE = 0.02;

  private final SchedulingPolicy policy;
  private final ToDoubleFunction<Job> work;
  private final Map<String, MeanWork> means = new HashMap<>();

  /** The aged mean work of a class. Confined to one thread. */
  private static final class MeanWork {
    private double mean;
    private long count;

    private void add(double work) {
      count++;
      mean += Math.max(LEAST_SHARE, 1.0 / count) * (work - mean);
    }
  }

  /**
   * Creates values.
   *
   * @param work the predicted work of all tasks of a job
   */
  JobValues(SchedulingPolicy policy, ToDoubleFunction<Job> work) {
    this.policy = policy;
    this.work = work;
  }

  /** Takes in the work of a new job. */
  void learn(Job job) {
    means
        .computeIfAbsent(job.requestClass().name(), name -> new MeanWork())
        .add(work.applyAsDouble(job));
  }

  /** Returns what a job is worth if it ends in time. */
  double value(Job job) {
    return value(job, work.applyAsDouble(job));
  }

  /** Returns what a job is worth if it ends in time, whose predicted work is at hand. */
  double value(Job job, double wholeWork) {
    MeanWork known = means.get(job.requestClass().name());
    double relative = known == null ? 1 : wholeWork / known.mean;
    double factor = FIXED_SHARE + (1 - FIXED_SHARE) * relative;
    return classValue(job.requestClass().priority()) * Math.min(LARGEST_FACTOR, factor);
  }

  /** Tells whether a job that ends late is worth anything. */
  boolean lateIsOfUse() {
    return policy.lateValue() > 0;
  }

  private double classValue(int priority) {
    return policy.jobValues().isEmpty()
        ? Math.pow(PRIORITY_RATIO, -priority)
        : policy.jobValue(priority);
  }
}
