package org.marjoramhoist.experiment;

import java.util.List;

/**
 * The machines of a virtual fleet.
 *
 * <p>Immutable.
 *
 * @param domains the names of the failure domains
 * @param hostsPerDomain entry hosts of each domain
 * @param workers the workers
 * @param localMicros one-way latency within a domain, in microseconds
 * @param remoteMicros one-way latency between domains, in microseconds
 * @param callerMicros one-way latency to callers, in microseconds
 * @param storeMicros time of a store call, in microseconds
 * @param jitter the part by which latencies vary
 */
public record FleetPlan(
    List<String> domains,
    int hostsPerDomain,
    List<WorkerPlan> workers,
    long localMicros,
    long remoteMicros,
    long callerMicros,
    long storeMicros,
    double jitter) {

  /** A worker: its place, slots, and how much longer than its size a task takes. */
  public record WorkerPlan(String name, String domain, String rack, int slots, double slowness) {}

  /** Creates a plan of copies. */
  public FleetPlan {
    domains = List.copyOf(domains);
    workers = List.copyOf(workers);
  }

  /** Returns the tasks of size 1 that the fleet can run in a unit of time. */
  public double capacity() {
    return workers.stream().mapToDouble(w -> w.slots() / w.slowness()).sum();
  }
}
