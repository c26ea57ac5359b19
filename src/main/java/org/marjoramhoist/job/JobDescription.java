package org.marjoramhoist.job;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * A job as its caller describes it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the job's id
 * @param payload what the workers are given, passed on unchanged
 * @param steps the steps, at least one
 * @param features what the job asks for beside plain steps
 */
public record JobDescription(
    JobId id, String payload, List<StepSpec> steps, Set<JobFeature> features) {

  /** Creates a description with copies of the collections. */
  public JobDescription {
    steps = List.copyOf(steps);
    features = Set.copyOf(features);
  }

  /** Returns a feature that the job asks for and that is not supported, if there is one. */
  public Optional<JobFeature> unsupportedFeature() {
    return features.stream().filter(feature -> !feature.isSupported()).sorted().findFirst();
  }

  /** Tells whether the job is stored before it is accepted, and asked for later. */
  @JsonIgnore
  public boolean isDurable() {
    return features.contains(JobFeature.DURABLE);
  }

  /**
   * Returns the longest chain of the estimates of steps, in milliseconds.
   *
   * @param counts tells whether a step counts, by its number
   */
  public long criticalPathMillis(IntPredicate counts) {
    long[] ends = new long[steps.size()];
    long longest = 0;
    for (int step = 0; step < ends.length; step++) {
      StepSpec spec = steps.get(step);
      long begin = 0;
      for (int before : spec.after()) {
        begin = Math.max(begin, ends[before]);
      }
      ends[step] = begin + (counts.test(step) ? spec.estimateMillis() : 0);
      longest = Math.max(longest, ends[step]);
    }
    return longest;
  }

  /** Returns the number of tasks of all steps. */
  public int taskCount() {
    return steps.stream().mapToInt(StepSpec::count).sum();
  }
}
