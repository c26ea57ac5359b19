package org.marjoramhoist.experiment;

import java.util.function.Consumer;

/**
 * A load and the faults that strike during it.
 *
 * <p>Immutable.
 *
 * @param name the name
 * @param plan the machines
 * @param load offered work as a part of the capacity
 * @param burst how many times the load is offered from second 6 to 8
 * @param teams how many teams submit jobs
 * @param greedyLoad further work that the first team offers, as a part of the capacity
 * @param declaredError how far off declared sizes are, as a factor
 * @param neverPart the part of jobs that no worker can ever run
 * @param cancelPart the part of jobs that are cancelled at second 10
 * @param deadlineMillis the deadline of jobs, in milliseconds
 * @param fault strikes at second 10 or later
 * @param bounds what must hold of the product's own decisions
 */
record Scenario(
    String name,
    FleetPlan plan,
    double load,
    double burst,
    int teams,
    double greedyLoad,
    double declaredError,
    double neverPart,
    double cancelPart,
    long deadlineMillis,
    Consumer<VirtualFleet> fault,
    Bounds bounds) {

  /**
   * Bounds of a scenario; those of the targets.
   *
   * @param p50 greatest median slowdown
   * @param p99 greatest 99th percentile of slowdown
   * @param waste greatest number of wasted messages a task
   * @param fairness least Jain index
   */
  record Bounds(double p50, double p99, double waste, double fairness) {}
}
