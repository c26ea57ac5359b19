package org.marjoramhoist.job;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A class of requests: how its requests are recognized, which upstream runs its jobs, and how they
 * are scheduled.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name
 * @param authority the host name in the requests
 * @param pathPrefix the prefix of the request path; the job id follows it
 * @param upstream the upstream whose workers run the tasks
 * @param priority the priority; 0 is the highest
 * @param attempts the number of failed runs of a task at which its job fails
 * @param stretch the factor by which the objective for the response time scales the run time
 * @param objectiveMillis the time that the objective allows beyond the scaled run time, in
 *     milliseconds
 * @param needsPlacementAdvice whether only an external service can decide which workers may run a
 *     step
 * @param startsBeyondCapacity whether the upstream's workers start tasks that exceed their capacity
 */
public record RequestClass(
    String name,
    String authority,
    String pathPrefix,
    String upstream,
    int priority,
    int attempts,
    double stretch,
    long objectiveMillis,
    @JsonProperty("advised") boolean needsPlacementAdvice,
    @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean startsBeyondCapacity) {

  /** Creates a class of an upstream whose workers reject tasks that exceed their capacity. */
  public RequestClass(
      String name,
      String authority,
      String pathPrefix,
      String upstream,
      int priority,
      int attempts,
      double stretch,
      long objectiveMillis,
      boolean needsPlacementAdvice) {
    this(
        name,
        authority,
        pathPrefix,
        upstream,
        priority,
        attempts,
        stretch,
        objectiveMillis,
        needsPlacementAdvice,
        false);
  }
}
