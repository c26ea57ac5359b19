package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.marjoramhoist.job.Resources;

/**
 * Chooses, of the workers on which a job is still in time, one near its data and of the slowest
 * kind, so that fast ones stay free for jobs that are short of time. Among equals it chooses the
 * worker that is left with the least room beyond a multiple of the task's need, so that similar
 * tasks fill it. If the job is in time on none, it chooses the one on which the task ends first.
 *
 * <p>A task waits for a worker near its data if all waiting tasks of its step are expected to find
 * room there in time, or if it would be late away from its data; never past the last start near the
 * data.
 *
 * <p>Confined to one thread.
 */
final class SlackPlacementStrategy implements PlacementStrategy {

  /** Kinds whose speeds differ by less than this share are taken for equal. */
  private static final double TIE_TOLERANCE = 0.05;

  /** How long a job waits for room near its data before the expected wait is computed again. */
  private static final long RECHECK_MICROS = 2_000;

  /** The expected rest of a run that takes longer than predicted, as a share of its age. */
  private static final double OVERRUN_SHARE = 0.25;

  private final DurationModel durations;
  private final SlackCalculator slack;
  private final WorkerRegistry workers;

  SlackPlacementStrategy(DurationModel durations, SlackCalculator slack, WorkerRegistry workers) {
    this.durations = durations;
    this.slack = slack;
    this.workers = workers;
  }

  @Override
  public Selection newSelection(Task task, double micros, long now) {
    return new SlackSelection(task, micros, now);
  }

  private final class SlackSelection implements Selection {

    private final Task task;
    private final long requiredCpuMillis;
    private final double micros;
    private final long now;
    private final double maxSlowdown;
    private final double expectedMaxSlowdown;
    private Worker best;
    private double bestSlowdown;
    private double bestKindFactor;
    private boolean bestInTime;
    private boolean bestFar;
    private long bestLeftoverCpuMillis;

    private SlackSelection(Task task, double micros, long now) {
      this.task = task;
      this.requiredCpuMillis = Math.max(1, task.spec().need().cpuMillis());
      this.micros = micros;
      this.now = now;
      this.maxSlowdown = slack.maxSlowdown(task, micros, now);
      this.expectedMaxSlowdown = slack.expectedMaxSlowdown(task, micros, now);
    }

    @Override
    public boolean isEligible(Worker worker) {
      return now >= task.job.localityWaitUntil || !WorkerSelector.isFar(task.spec(), worker);
    }

    @Override
    public void addCandidate(Worker worker, double factor) {
      boolean inTime = factor <= maxSlowdown;
      boolean far = WorkerSelector.isFar(task.spec(), worker);
      double kind = durations.workerKindFactor(worker);
      long left = (worker.freeResources.cpuMillis() - requiredCpuMillis) % requiredCpuMillis;
      if (best == null || isBetter(inTime, far, kind, factor, left)) {
        best = worker;
        bestSlowdown = factor;
        bestKindFactor = kind;
        bestInTime = inTime;
        bestFar = far;
        bestLeftoverCpuMillis = left;
      }
    }

    private boolean isBetter(boolean inTime, boolean far, double kind, double factor, long left) {
      if (inTime != bestInTime) {
        return inTime;
      }
      if (!inTime) {
        boolean equal = factor < bestSlowdown * (1 + TIE_TOLERANCE);
        return factor < bestSlowdown * (1 - TIE_TOLERANCE) || equal && left < bestLeftoverCpuMillis;
      }
      if (far != bestFar) {
        return bestFar;
      }
      boolean equal = kind > bestKindFactor * (1 - TIE_TOLERANCE);
      return kind > bestKindFactor * (1 + TIE_TOLERANCE) || equal && left < bestLeftoverCpuMillis;
    }

    @Override
    public WorkerSelector.Choice best() {
      if (best == null || bestFar && waitsForLocality()) {
        return null;
      }
      return new WorkerSelector.Choice(best, micros * bestSlowdown);
    }

    private boolean waitsForLocality() {
      if (now >= task.job.localityWaitUntil && isWaitWorthwhile()) {
        task.job.localityWaitUntil = now + RECHECK_MICROS;
      }
      return now < task.job.localityWaitUntil;
    }

    /** Tells whether to wait for a worker near the data rather than to go far now. */
    private boolean isWaitWorthwhile() {
      List<Double> waits = new ArrayList<>();
      double nearFactor = Double.MAX_VALUE;
      for (Worker worker : workers.all()) {
        if (!WorkerSelector.isFar(task.spec(), worker)
            && WorkerSelector.mayRun(task, worker)
            && worker.isUsable(now)) {
          addWaits(worker, waits);
          nearFactor = Math.min(nearFactor, durations.workerFactor(worker));
        }
      }
      double atLatest = slack.latestStart(task, micros, nearFactor, now);
      if (waits.isEmpty() || now > atLatest) {
        return false;
      }
      Collections.sort(waits);
      int waiting = waitingTasksOfStep();
      boolean soon = waiting <= waits.size() && now + waits.get(waiting - 1) <= atLatest;
      return soon || bestSlowdown > expectedMaxSlowdown;
    }

    /** Returns how many tasks of the step wait: the last of them decides when the job ends. */
    private int waitingTasksOfStep() {
      int count = 0;
      for (Task each : task.job.waitingTasks()) {
        count += each.ref.step() == task.ref.step() ? 1 : 0;
      }
      return count;
    }

    /** Adds how long until a worker has room for each more task, as far as predictions tell. */
    private void addWaits(Worker worker, List<Double> waits) {
      List<Run> runs = new ArrayList<>(worker.runs.values());
      runs.sort(Comparator.comparingDouble(run -> remainingMicros(run)));
      Resources free = worker.freeResources;
      for (Run run : runs) {
        free = free.plus(run.need);
        while (free.covers(task.spec().need())) {
          free = free.minus(task.spec().need());
          waits.add(remainingMicros(run));
        }
      }
    }

    /** Returns how long a run still takes; one that is overdue takes in proportion to its age. */
    private double remainingMicros(Run run) {
      double age = now - run.orderedAt;
      return Math.max(run.predictedMicros - age, OVERRUN_SHARE * age);
    }
  }
}
