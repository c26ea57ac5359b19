package org.marjoramhoist.job;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * A job as submitted by its caller.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the job's id
 * @param payload opaque data, passed to the workers unchanged
 * @param steps the steps, at least one
 * @param features the optional features that the job requests
 */
public record JobDescription(
    JobId id, String payload, List<StepSpec> steps, Set<JobFeature> features) {

  /** Creates a description; the collections are copied. */
  public JobDescription {
    steps = List.copyOf(steps);
    features = Set.copyOf(features);
  }

  /** Returns the first requested feature that is not supported, if any. */
  public Optional<JobFeature> unsupportedFeature() {
    return features.stream().filter(feature -> !feature.isSupported()).sorted().findFirst();
  }

  /**
   * Returns whether the job is stored before it is accepted and its status can be queried later.
   */
  @JsonIgnore
  public boolean isDurable() {
    return features.contains(JobFeature.DURABLE);
  }

  /**
   * Returns the length of the critical path by the estimates of the steps, in milliseconds.
   *
   * @param included selects steps by number; the estimate of any other step counts as 0
   */
  public long criticalPathMillis(IntPredicate included) {
    long[] finishMillis = new long[steps.size()];
    long criticalPath = 0;
    for (int step = 0; step < finishMillis.length; step++) {
      StepSpec spec = steps.get(step);
      long startMillis = 0;
      for (int predecessor : spec.after()) {
        startMillis = Math.max(startMillis, finishMillis[predecessor]);
      }
      finishMillis[step] = startMillis + (included.test(step) ? spec.estimateMillis() : 0);
      criticalPath = Math.max(criticalPath, finishMillis[step]);
    }
    return criticalPath;
  }

  /** Returns the total number of tasks of all steps. */
  public int taskCount() {
    return steps.stream().mapToInt(StepSpec::count).sum();
  }
}
