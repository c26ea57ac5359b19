package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Map;

/**
 * What a leader's decisions know at one moment, in figures for logs and metrics.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param workers what is known of the workers
 * @param runs what is known of the runs
 * @param drain what is known of drained failure domains
 * @param starts where the runs of this term were started
 * @param startsAllowed whether new runs may be started
 * @param settled whether no run of an earlier leader can be at work out of sight
 * @param waitingJobs how many jobs have tasks that may start now
 * @param waitingMicros how long all workers together need for what waits
 * @param displacedJobs how many waiting jobs make way for others that can be in time
 * @param shed what was refused since its room was worth more to others, by the name of the class
 */
public record DispatchSnapshot(
    Workers workers,
    Runs runs,
    Drain drain,
    Starts starts,
    boolean startsAllowed,
    boolean settled,
    int waitingJobs,
    long waitingMicros,
    int displacedJobs,
    Map<String, Shed> shed) {

  /** The figures of a host that does not lead. */
  public static final DispatchSnapshot NONE =
      new DispatchSnapshot(
          new Workers(0, 0, 0, 0, 0, 0),
          new Runs(0, 0, 0, 0, 0, 0, 0),
          new Drain(false, List.of(), 0, 0),
          new Starts(0, 0, 0, 0),
          false,
          false,
          0,
          0,
          0,
          Map.of());

  /** Creates a snapshot with a copy of the map. */
  public DispatchSnapshot {
    shed = Map.copyOf(shed);
  }

  /**
   * Jobs of a class that were refused in this term since their room was worth more to others.
   *
   * @param jobs how many
   * @param value what they would have been worth in time
   */
  public record Shed(long jobs, double value) {
    /** Returns the sum of both. */
    public Shed plus(Shed other) {
      return new Shed(jobs + other.jobs, value + other.value);
    }
  }

  /**
   * What is known of the workers.
   *
   * @param listed how many stand in the list, or may be missing there as the store was away
   * @param synced how many of those have answered this leader and not started again since
   * @param usable how many of those may be given work now
   * @param totalCpuMillis what the listed workers have, in thousandths of a core
   * @param freeCpuMillis what of that no run takes
   * @param usableFreeCpuMillis what no run takes on the workers that may be given work
   */
  public record Workers(
      int listed,
      int synced,
      int usable,
      long totalCpuMillis,
      long freeCpuMillis,
      long usableFreeCpuMillis) {}

  /**
   * What is known of the runs.
   *
   * @param starting those whose order to start is not answered
   * @param running those that a worker has
   * @param stopping those that are ordered to stop
   * @param stopped those whose order to stop was confirmed, and whose end is not known
   * @param foreign those at work that no known job has
   * @param unansweredStarts how many orders to start are under way
   * @param silentStarts how many of those were overtaken: their workers are silent
   */
  public record Runs(
      int starting,
      int running,
      int stopping,
      int stopped,
      int foreign,
      int unansweredStarts,
      int silentStarts) {}

  /**
   * What is known of drained failure domains.
   *
   * @param known whether it is known which are drained; nothing is started before
   * @param domains the drained domains
   * @param workers how many known workers are in them
   * @param runs how many runs are at work there
   */
  public record Drain(boolean known, List<String> domains, int workers, int runs) {
    /** Creates the figures with a copy of the list. */
    public Drain {
      domains = List.copyOf(domains);
    }
  }

  /**
   * Where the runs of this term were started.
   *
   * @param ordered how many were ordered
   * @param fast how many of those on a kind of worker that is faster than the average
   * @param far how many of those away from the data of their task
   * @param window how many orders may be under way that were not overtaken
   */
  public record Starts(long ordered, long fast, long far, int window) {}

  @Override
  public String toString() {
    return "listed="
        + workers.listed
        + " synced="
        + workers.synced
        + " usable="
        + workers.usable
        + " cpuMillis="
        + workers.totalCpuMillis
        + " free="
        + workers.freeCpuMillis
        + " usableFree="
        + workers.usableFreeCpuMillis
        + " starting="
        + runs.starting
        + " running="
        + runs.running
        + " stopping="
        + runs.stopping
        + " stopped="
        + runs.stopped
        + " foreign="
        + runs.foreign
        + " unanswered="
        + runs.unansweredStarts
        + " silent="
        + runs.silentStarts
        + " drained="
        + (drain.known ? drain.domains : "unknown")
        + " drainedWorkers="
        + drain.workers
        + " drainedRuns="
        + drain.runs
        + " ordered="
        + starts.ordered
        + " fast="
        + starts.fast
        + " far="
        + starts.far
        + " window="
        + starts.window
        + " startsAllowed="
        + startsAllowed
        + " settled="
        + settled
        + " waitingJobs="
        + waitingJobs
        + " waitingMicros="
        + waitingMicros
        + " displacedJobs="
        + displacedJobs
        + " shedJobs="
        + shed.values().stream().mapToLong(Shed::jobs).sum();
  }
}
