package org.marjoramhoist.job;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A class of request: where its jobs come in, which upstream runs them, and how.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name
 * @param authority the host name that callers address
 * @param pathPrefix the beginning of the path; the rest is the job's id
 * @param upstream the upstream whose workers run the tasks
 * @param priority 0 comes first
 * @param attempts how often a task may fail before its job fails
 * @param stretch how many times its run time a job may take within its objective
 * @param objectiveMillis what a job may take beyond that, in milliseconds
 * @param needsPlacementAdvice whether only an outside service knows which workers may run a step
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
    @JsonProperty("advised") boolean needsPlacementAdvice) {}
