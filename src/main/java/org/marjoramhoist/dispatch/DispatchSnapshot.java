package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Map;

/**
 * The state of a leader's dispatcher at one moment, in counts for logs and metrics.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param workers the workers
 * @param runs the runs
 * @param drain the drained failure domains
 * @param starts the runs ordered in this term
 * @param suspects the tasks that may have crashed workers
 * @param unansweredTasks the number of tasks whose start orders no worker answers
 * @param startsAllowed whether new runs may be started
 * @param settled whether no run of a previous leader can be running unnoticed
 * @param waitingJobs the number of jobs with tasks that can start now
 * @param waitingMicros how long all workers together would take for the waiting work
 * @param displacedJobs the number of waiting jobs that are placed behind others in the queue
 * @param shed the jobs that were refused to reduce the load, by class name
 */
public record DispatchSnapshot(
    Workers workers,
    Runs runs,
    Drain drain,
    Starts starts,
    Suspects suspects,
    int unansweredTasks,
    boolean startsAllowed,
    boolean settled,
    int waitingJobs,
    long waitingMicros,
    int displacedJobs,
    Map<String, Shed> shed) {

  /** The snapshot of a host that does not lead. */
  public static final DispatchSnapshot NONE =
      new DispatchSnapshot(
          new Workers(0, 0, 0, 0, 0, 0, 0),
          new Runs(0, 0, 0, 0, 0, 0, 0),
          new Drain(false, List.of(), 0, 0),
          new Starts(0, 0, 0, 0),
          new Suspects(0, 0, 0),
          0,
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
   * The jobs of a class that were refused in this term to reduce the load.
   *
   * @param jobs the number of jobs
   * @param value their total value, had they met their objectives
   */
  public record Shed(long jobs, double value) {
    /** Returns the sum of the two values. */
    public Shed plus(Shed other) {
      return new Shed(jobs + other.jobs, value + other.value);
    }
  }

  /**
   * The known workers.
   *
   * @param listed the number of workers that are in the list, or may be missing there because the
   *     store was unavailable
   * @param synced the number of listed workers that have reported to this leader since their last
   *     restart
   * @param usable the number of listed workers that can be assigned work now
   * @param slow the number of listed workers whose runs currently take much longer than predicted
   * @param totalCpuMillis the capacity of the listed workers, in thousandths of a core
   * @param freeCpuMillis the part of that capacity that no run holds
   * @param usableFreeCpuMillis the free capacity of the usable workers
   */
  public record Workers(
      int listed,
      int synced,
      int usable,
      int slow,
      long totalCpuMillis,
      long freeCpuMillis,
      long usableFreeCpuMillis) {
    private String describe() {
      return "listed="
          + listed
          + " synced="
          + synced
          + " usable="
          + usable
          + " slow="
          + slow
          + " cpuMillis="
          + totalCpuMillis
          + " free="
          + freeCpuMillis
          + " usableFree="
          + usableFreeCpuMillis;
    }
  }

  /**
   * The known runs.
   *
   * @param starting those whose start order is not answered
   * @param running those that a worker has accepted
   * @param stopping those that were ordered to stop
   * @param stopped those whose stop order was confirmed and whose outcome is not known
   * @param foreign those that are running and belong to no known job
   * @param unansweredStarts the number of unanswered start orders
   * @param silentStarts the number of unanswered start orders that were overtaken by later ones
   */
  public record Runs(
      int starting,
      int running,
      int stopping,
      int stopped,
      int foreign,
      int unansweredStarts,
      int silentStarts) {
    private String describe() {
      return " starting="
          + starting
          + " running="
          + running
          + " stopping="
          + stopping
          + " stopped="
          + stopped
          + " foreign="
          + foreign
          + " unanswered="
          + unansweredStarts
          + " silent="
          + silentStarts;
    }
  }

  /**
   * The drained failure domains.
   *
   * @param known whether the drained domains are known; nothing is started before
   * @param domains the drained domains
   * @param workers the number of known workers in them
   * @param runs the number of runs that are running there
   */
  public record Drain(boolean known, List<String> domains, int workers, int runs) {
    /** Creates a value with a copy of the list. */
    public Drain {
      domains = List.copyOf(domains);
    }

    private String describe() {
      return " drained="
          + (known ? domains : "unknown")
          + " drainedWorkers="
          + workers
          + " drainedRuns="
          + runs;
    }
  }

  /**
   * The runs that were ordered in this term.
   *
   * @param ordered the number of runs
   * @param fast the number of runs on a kind of worker that is faster than average
   * @param far the number of runs on workers that are remote from the data of their task
   * @param window how many start orders that were not overtaken may be unanswered at a time
   */
  public record Starts(long ordered, long fast, long far, int window) {
    private String describe() {
      return " ordered=" + ordered + " fast=" + fast + " far=" + far + " window=" + window;
    }
  }

  /**
   * The tasks that were running on workers when these were lost.
   *
   * @param exclusive the number of tasks that are run only on workers that run nothing else
   * @param held the number of tasks that wait until it is known what became of the workers
   * @param reservedWorkers the number of workers that are reserved for such a task or run it
   */
  public record Suspects(int exclusive, int held, int reservedWorkers) {
    private String describe() {
      return " suspects=" + exclusive + " held=" + held + " reserved=" + reservedWorkers;
    }
  }

  @Override
  public String toString() {
    return workers.describe()
        + runs.describe()
        + drain.describe()
        + starts.describe()
        + suspects.describe()
        + " unansweredTasks="
        + unansweredTasks
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
