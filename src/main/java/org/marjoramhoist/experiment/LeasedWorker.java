package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.marjoramhoist.dispatch.StartReply;
import org.marjoramhoist.dispatch.StartReply.Verdict;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.dispatch.WorkerReport;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;
import org.marjoramhoist.platform.PlatformWorkerClient;

/**
 * A worker in virtual time that runs tasks under leases and fencing tokens.
 *
 * <p>Confined to one thread.
 */
public final class LeasedWorker {

  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final long LONGEST_LEASE_MILLIS = 1_000;
  private static final long STOP_MICROS = 30_000;
  private static final double SLOWEST_CLOCK = 0.98;

  /** Hears what a worker does. */
  public interface Observer {
    /** A run began. */
    void runStarted(LeasedWorker worker, RunRef run);

    /** A run ended. */
    void runEnded(LeasedWorker worker, RunRef run, RunOutcome how);

    /**
     * The leader took note of the end of a run, which is now forgotten.
     *
     * @param lapsed whether the worker's lease has lapsed since that end
     */
    default void forgotten(LeasedWorker worker, RunRef run, RunOutcome how, boolean lapsed) {}
  }

  private static final class Running {
    private final Resources need;
    private final long beganAt;
    private final double micros;
    private boolean stopping;

    private Running(Resources need, long beganAt, double micros) {
      this.need = need;
      this.beganAt = beganAt;
      this.micros = micros;
    }
  }

  private record Waiting(Consumer<WorkerReport> reply) {}

  /** What stands behind a worker's id and address. */
  enum Process {
    /** The worker itself. */
    RUNNING,
    /** Nothing, so that connections are refused. */
    ENDED,
    /** Another worker, which takes no calls for this one. */
    REPLACED
  }

  private final VirtualTime time;
  private final Observer observer;
  private WorkerInfo info;
  private double slowness;
  private long clockBase;
  private long bornAt;
  private long token;
  private long leaseEnd;
  private long ends;

  /** The number of the last end before the latest lapse of the lease. */
  private long endsBeforeLapse;

  private int life;
  private Resources free;
  private Waiting waiting;
  private final Map<RunRef, Running> running = new LinkedHashMap<>();
  private final TreeMap<Long, WorkerReport.Completion> ended = new TreeMap<>();
  private final Map<TaskRef, Integer> highest = new HashMap<>();

  /** Its process. */
  Process process = Process.RUNNING;

  /** Whether it hears nothing and says nothing. */
  boolean cutOff;

  /** Whether it is cut off so that connections to it are refused. */
  boolean refuses;

  /** Whether a connection from before such a cut is open, on which the next call breaks. */
  boolean hasStaleConnection;

  /** Whether its entry in the list of workers has lapsed, though it runs on. */
  boolean unlisted;

  /** Whether it starts what it is told to, even beyond its capacity. */
  boolean unguarded;

  /** Whether it rejects every order to start. */
  boolean unhealthy;

  /** Whether all that it runs fails at once. */
  boolean failsAll;

  /** Whether what it runs makes no progress. */
  boolean hangs;

  /**
   * Starts a worker.
   *
   * @param info what it says of itself
   * @param slowness how many times as long its tasks run
   * @param time the time it lives in
   * @param observer hears what it does
   */
  public LeasedWorker(WorkerInfo info, double slowness, VirtualTime time, Observer observer) {
    this.info = info;
    this.slowness = slowness;
    this.time = time;
    this.observer = observer;
    begin(1_000_000 + Math.floorMod(info.id().hashCode(), 1_000_000));
  }

  private void begin(long clock) {
    clockBase = clock;
    bornAt = time.now();
    token = 0;
    leaseEnd = 0;
    ends = 0;
    endsBeforeLapse = 0;
    life++;
    free = info.capacity();
    ended.clear();
    highest.clear();
  }

  /** Returns what it says of itself. */
  public WorkerInfo info() {
    return info;
  }

  /** Returns its entry in the list of workers. */
  WorkerInfo entry() {
    return info.writtenBy(bornMillis(), clock());
  }

  private long bornMillis() {
    return bornAt / 1_000;
  }

  /** Changes what it says of itself; runs beyond a smaller capacity go on. */
  void setInfo(WorkerInfo next) {
    free = free.plus(next.capacity().minus(info.capacity()));
    info = next;
  }

  /** Tells whether its runs need more than an amount, in any resource. */
  boolean needsMoreThan(Resources amount) {
    return !amount.covers(info.capacity().minus(free));
  }

  double slowness() {
    return slowness;
  }

  void setSlowness(double factor) {
    slowness = factor;
  }

  /** Returns the tasks that it runs. */
  List<TaskRef> runningTasks() {
    return running.keySet().stream().map(RunRef::task).toList();
  }

  int runningCount() {
    return running.size();
  }

  /** Returns the number of its present life; a crash begins the next one. */
  int life() {
    return life;
  }

  /** Returns its steady clock, in milliseconds. */
  public long clock() {
    return clockBase + (long) ((time.now() - bornAt) / MICROS_PER_MILLI * SLOWEST_CLOCK);
  }

  /** Ends its process at once and starts a new one that knows nothing. */
  public void crash() {
    if (process == Process.RUNNING) {
      dropRuns();
      begin(500_000 + life);
    }
  }

  /** Starts a process again after the end of the last one. */
  void restart() {
    begin(500_000 + life);
    process = Process.RUNNING;
  }

  /** Ends its process. */
  void terminate() {
    dropRuns();
    begin(0);
    process = Process.ENDED;
  }

  private void dropRuns() {
    List.copyOf(running.keySet()).forEach(run -> observer.runEnded(this, run, RunOutcome.BROKEN));
    running.clear();
    waiting = null;
  }

  /**
   * Takes an order to start.
   *
   * @param need what the run takes
   * @param micros its run time at slowness 1
   * @param lease the end of its lease, on this worker's clock
   * @param fence the fencing token
   */
  public StartReply start(RunRef run, Resources need, double micros, long lease, long fence) {
    Verdict verdict = startVerdict(run, need, lease, fence);
    if (verdict == Verdict.STARTED && !running.containsKey(run)) {
      Running made = new Running(need, time.now(), micros * slowness);
      running.put(run, made);
      free = free.minus(need);
      observer.runStarted(this, run);
      planEnd(run, made);
    }
    return new StartReply(verdict, clock());
  }

  private Verdict startVerdict(RunRef run, Resources need, long lease, long fence) {
    if (unhealthy) {
      return Verdict.UNHEALTHY;
    }
    if (fence < token) {
      return Verdict.STALE_TOKEN;
    }
    token = fence;
    if (lease <= clock()) {
      return Verdict.LATE;
    }
    extendLease(lease);
    if (running.containsKey(run)) {
      return Verdict.STARTED;
    }
    if (run.number() <= highest.getOrDefault(run.task(), 0)) {
      return Verdict.STALE_RUN;
    }
    return unguarded || free.covers(need) ? Verdict.STARTED : Verdict.NO_ROOM;
  }

  private void planEnd(RunRef run, Running made) {
    int now = life;
    if (failsAll) {
      time.after(1_000, () -> end(run, made, now, RunOutcome.FAILED));
    } else if (!hangs) {
      time.after((long) made.micros, () -> end(run, made, now, RunOutcome.DONE));
    }
  }

  private void extendLease(long until) {
    long allowed = Math.min(until, clock() + LONGEST_LEASE_MILLIS);
    if (allowed <= leaseEnd) {
      return;
    }
    if (hasLapsed()) {
      endsBeforeLapse = ends;
    }
    leaseEnd = allowed;
    int now = life;
    long micros = (long) ((allowed - clock() + 1) * MICROS_PER_MILLI / SLOWEST_CLOCK);
    time.after(micros, () -> lapse(now));
  }

  private boolean hasLapsed() {
    return clock() >= leaseEnd;
  }

  private void lapse(int inLife) {
    if (inLife == life && hasLapsed()) {
      for (Map.Entry<RunRef, Running> each : List.copyOf(running.entrySet())) {
        end(each.getKey(), each.getValue(), life, RunOutcome.LAPSED);
      }
    }
  }

  private void end(RunRef run, Running made, int inLife, RunOutcome how) {
    if (inLife != life || running.get(run) != made) {
      return;
    }
    running.remove(run);
    free = free.plus(made.need);
    highest.merge(run.task(), run.number(), Math::max);
    ended.put(++ends, new WorkerReport.Completion(ends, run, how));
    observer.runEnded(this, run, how);
    answerWaiting();
  }

  /** Takes an order to stop; tells whether the token was good. */
  public boolean stop(RunRef run, long fence) {
    if (fence < token) {
      return false;
    }
    token = fence;
    highest.merge(run.task(), run.number(), Math::max);
    Running made = running.get(run);
    if (made != null && !made.stopping) {
      made.stopping = true;
      int now = life;
      time.after(STOP_MICROS, () -> end(run, made, now, RunOutcome.STOPPED));
    }
    return true;
  }

  /** Renews the lease, and answers at an end or after the wait. */
  public void renew(
      long fence, long acknowledged, long lease, long waitMillis, Consumer<WorkerReport> reply) {
    if (fence >= token) {
      token = fence;
      if (lease > clock()) {
        extendLease(lease);
      }
      forgetUntil(acknowledged);
    }
    answerWaiting();
    if (waitMillis == 0 || !ended.isEmpty()) {
      reply.accept(report());
      return;
    }
    Waiting made = new Waiting(reply);
    waiting = made;
    time.after(
        (long) (waitMillis * MICROS_PER_MILLI),
        () -> {
          if (waiting == made) {
            answerWaiting();
          }
        });
  }

  private void forgetUntil(long number) {
    Map<Long, WorkerReport.Completion> old = ended.headMap(number, true);
    for (WorkerReport.Completion end : old.values()) {
      boolean lapsed = hasLapsed() || end.sequence() <= endsBeforeLapse;
      observer.forgotten(this, end.run(), end.outcome(), lapsed);
    }
    old.clear();
  }

  private void answerWaiting() {
    if (waiting != null) {
      Waiting made = waiting;
      waiting = null;
      made.reply().accept(report());
    }
  }

  private WorkerReport report() {
    List<WorkerReport.ActiveRun> rows = new ArrayList<>();
    running.forEach((run, made) -> rows.add(new WorkerReport.ActiveRun(run, percent(made))));
    List<WorkerReport.Completion> first =
        ended.values().stream().limit(PlatformWorkerClient.MAX_COMPLETIONS_PER_REPORT).toList();
    boolean whole = first.size() < PlatformWorkerClient.MAX_COMPLETIONS_PER_REPORT;
    return new WorkerReport(clock(), bornMillis(), rows, first, whole);
  }

  private int percent(Running made) {
    return hangs ? 0 : (int) (100 * Math.min(1, (time.now() - made.beganAt) / made.micros));
  }
}
