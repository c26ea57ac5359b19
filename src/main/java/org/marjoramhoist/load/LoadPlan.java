package org.marjoramhoist.load;

import java.util.List;

/**
 * What load to offer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param servers listeners for callers, used in turn
 * @param team the team
 * @param classes the classes of request, used in turn
 * @param jobsPerSecond mean arrival rate
 * @param tasksPerJob tasks of a job
 * @param minMillis least size of a task, in milliseconds
 * @param maxMillis greatest size of a task, in milliseconds
 * @param declaredError how far off declared sizes are, as a factor; 1 for right
 * @param deadlineMillis deadline from submission, in milliseconds
 * @param durationMillis how long to offer load, in milliseconds
 * @param seed makes the same arrivals and sizes again
 * @param token the bearer token; empty for none
 * @param maxOpen the most jobs in flight; an arrival beyond it is not sent but counted
 */
public record LoadPlan(
    List<String> servers,
    String team,
    List<String> classes,
    double jobsPerSecond,
    int tasksPerJob,
    long minMillis,
    long maxMillis,
    double declaredError,
    long deadlineMillis,
    long durationMillis,
    long seed,
    String token,
    int maxOpen) {}
