package org.marjoramhoist.decision;

import java.util.List;
import java.util.Map;

/**
 * The state of a host, for operators.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host this incarnation
 * @param domain its failure domain
 * @param draining whether it is stopping
 * @param configRevision the configuration revision in force
 * @param jobs jobs waiting or running
 * @param waitingTasks tasks waiting
 * @param attempts attempts whose end is not known
 * @param claims claims held as owner or standby
 * @param submissions submissions remembered
 * @param accountBacklog rows of accounts that the store has not taken yet
 * @param shards shards that this host decides
 * @param hosts the other hosts
 * @param workers the workers as this host sees them
 * @param teams tasks waiting or running here, by team
 */
public record HostStatus(
    String host,
    String domain,
    boolean draining,
    long configRevision,
    int jobs,
    int waitingTasks,
    int attempts,
    int claims,
    int submissions,
    int accountBacklog,
    List<String> shards,
    List<HostView> hosts,
    List<WorkerView> workers,
    Map<String, Integer> teams) {

  /** Another host as this one sees it. */
  public record HostView(
      String host, String domain, String state, boolean draining, long configRevision) {}

  /** A worker as this host sees it. */
  public record WorkerView(
      String upstream,
      String worker,
      String domain,
      String rack,
      String state,
      int slots,
      int share,
      int running,
      double slowness) {}
}
