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

  /** The part of the value of a job of average size that does not grow with its work. */
  private static final double FIXED_SHARE = 0.3;

  /** Bounds the value of a job far larger than the others of its class. */
  private static final double MAX_FACTOR = 4;

  /**
   * The ratio of the values of successive priorities where the settings name none. It exceeds the
   * usual ratio of the work of jobs, so that the higher priority also has the higher value per
   * work.
   */
  private static final double PRIORITY_RATIO = 1_000;

  /** The least weight of a new job in the mean work of its class; the n-th job has at least 1/n. */
  private static final double MIN_WEIGHT = 0.02;

  private final SchedulingPolicy policy;
  private final ToDoubleFunction<Job> work;
  private final Map<String, MeanWork> meanWorkByClass = new HashMap<>();

  /** The aged mean work of a class. Confined to one thread. */
  private static final class MeanWork {
    private double mean;
    private long count;

    private void add(double work) {
      count++;
      mean += Math.max(MIN_WEIGHT, 1.0 / count) * (work - mean);
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
    meanWorkByClass
        .computeIfAbsent(job.requestClass().name(), name -> new MeanWork())
        .add(work.applyAsDouble(job));
  }

  /** Returns what a job is worth if it ends in time. */
  double value(Job job) {
    return value(job, work.applyAsDouble(job));
  }

  /**
   * Returns what a job is worth if it ends in time.
   *
   * @param wholeWork the predicted work of all its tasks, if the caller has it already
   */
  double value(Job job, double wholeWork) {
    MeanWork known = meanWorkByClass.get(job.requestClass().name());
    double relative = known == null ? 1 : wholeWork / known.mean;
    double factor = FIXED_SHARE + (1 - FIXED_SHARE) * relative;
    return classValue(job.requestClass().priority()) * Math.min(MAX_FACTOR, factor);
  }

  /** Tells whether a job that ends late is worth anything. */
  boolean hasLateValue() {
    return policy.lateValue() > 0;
  }

  private double classValue(int priority) {
    return policy.jobValues().isEmpty()
        ? Math.pow(PRIORITY_RATIO, -priority)
        : policy.jobValue(priority);
  }
}
