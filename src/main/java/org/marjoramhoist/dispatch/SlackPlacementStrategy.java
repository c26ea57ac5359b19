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
  private static final double TIE_SHARE = 0.05;

  /** How long a job waits for room near its data before the expected wait is computed again. */
  private static final long LOOK_MICROS = 2_000;

  /** The expected rest of a run that takes longer than predicted, as a share of its age. */
  private static final double OVERDUE_SHARE = 0.25;

  private final DurationModel durations;
  private final SlackCalculator slack;
  private final WorkerRegistry workers;

  SlackPlacementStrategy(DurationModel durations, SlackCalculator slack, WorkerRegistry workers) {
    this.durations = durations;
    this.slack = slack;
    this.workers = workers;
  }

  @Override
  public Selection begin(Task task, double micros, long now) {
    return new Slowest(task, micros, now);
  }

  private final class Slowest implements Selection {

    private final Task task;
    private final long needed;
    private final double micros;
    private final long now;
    private final double longest;
    private final double likely;
    private Worker best;
    private double bestFactor;
    private double bestKind;
    private boolean bestInTime;
    private boolean bestFar;
    private long bestLeft;

    private Slowest(Task task, double micros, long now) {
      this.task = task;
      this.needed = Math.max(1, task.spec().need().cpuMillis());
      this.micros = micros;
      this.now = now;
      this.longest = slack.longestFactor(task, micros, now);
      this.likely = slack.likelyFactor(task, micros, now);
    }

    @Override
    public boolean considers(Worker worker) {
      return now >= task.job.waitsNearUntil || !WorkerSelector.isFar(task.spec(), worker);
    }

    @Override
    public void offer(Worker worker, double factor) {
      boolean inTime = factor <= longest;
      boolean far = WorkerSelector.isFar(task.spec(), worker);
      double kind = durations.workerKindFactor(worker);
      long left = (worker.freeResources.cpuMillis() - needed) % needed;
      if (best == null || isBetter(inTime, far, kind, factor, left)) {
        best = worker;
        bestFactor = factor;
        bestKind = kind;
        bestInTime = inTime;
        bestFar = far;
        bestLeft = left;
      }
    }

    private boolean isBetter(boolean inTime, boolean far, double kind, double factor, long left) {
      if (inTime != bestInTime) {
        return inTime;
      }
      if (!inTime) {
        boolean equal = factor < bestFactor * (1 + TIE_SHARE);
        return factor < bestFactor * (1 - TIE_SHARE) || equal && left < bestLeft;
      }
      if (far != bestFar) {
        return bestFar;
      }
      boolean equal = kind > bestKind * (1 - TIE_SHARE);
      return kind > bestKind * (1 + TIE_SHARE) || equal && left < bestLeft;
    }

    @Override
    public WorkerSelector.Choice chosen() {
      if (best == null || bestFar && waitsNear()) {
        return null;
      }
      return new WorkerSelector.Choice(best, micros * bestFactor);
    }

    private boolean waitsNear() {
      if (now >= task.job.waitsNearUntil && hadBetterWait()) {
        task.job.waitsNearUntil = now + LOOK_MICROS;
      }
      return now < task.job.waitsNearUntil;
    }

    /** Tells whether to wait for a worker near the data rather than to go far now. */
    private boolean hadBetterWait() {
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
      double atLatest = slack.lastStart(task, micros, nearFactor, now);
      if (waits.isEmpty() || now > atLatest) {
        return false;
      }
      Collections.sort(waits);
      int waiting = waitingOfStep();
      boolean soon = waiting <= waits.size() && now + waits.get(waiting - 1) <= atLatest;
      return soon || bestFactor > likely;
    }

    /** Returns how many tasks of the step wait: the last of them decides when the job ends. */
    private int waitingOfStep() {
      int count = 0;
      for (Task each : task.job.waitingTasks()) {
        count += each.ref.step() == task.ref.step() ? 1 : 0;
      }
      return count;
    }

    /** Adds how long until a worker has room for each more task, as far as predictions tell. */
    private void addWaits(Worker worker, List<Double> waits) {
      List<Run> runs = new ArrayList<>(worker.runs.values());
      runs.sort(Comparator.comparingDouble(run -> leftMicros(run)));
      Resources free = worker.freeResources;
      for (Run run : runs) {
        free = free.plus(run.need);
        while (free.covers(task.spec().need())) {
          free = free.minus(task.spec().need());
          waits.add(leftMicros(run));
        }
      }
    }

    /** Returns how long a run still takes; one that is overdue takes in proportion to its age. */
    private double leftMicros(Run run) {
      double age = now - run.orderedAt;
      return Math.max(run.predictedMicros - age, OVERDUE_SHARE * age);
    }
  }
}
