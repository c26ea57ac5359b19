package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.marjoramhoist.job.Resources;

/**
 * Chooses a worker on which the job still meets its objective, preferring workers near the data of
 * the task and then the slowest kind of worker, so that fast workers stay free for jobs with little
 * slack. Ties are resolved in favor of the worker with the least free capacity left beyond a
 * multiple of the task's requirement, so that similar tasks fill it. If the job meets its objective
 * on no worker, the one on which the task finishes first is chosen.
 *
 * <p>A task waits for a worker near its data if all waiting tasks of its step are expected to get
 * capacity there by the latest start time, or if it would miss the objective on a remote worker. It
 * never waits beyond the latest start time near its data.
 *
 * <p>Confined to one thread.
 */
final class SlackPlacementStrategy implements PlacementStrategy {

  /** Worker kinds whose speeds differ by less than this fraction are considered equal. */
  private static final double TIE_TOLERANCE = 0.05;

  /** How long a job waits for capacity near its data before the expected wait is computed again. */
  private static final long RECHECK_MICROS = 2_000;

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
    private boolean bestMeetsObjective;
    private boolean bestIsFar;
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
    public void addCandidate(Worker worker, double slowdown) {
      boolean meetsObjective = slowdown <= maxSlowdown;
      boolean isFar = WorkerSelector.isFar(task.spec(), worker);
      double kindFactor = durations.workerKindFactor(worker);
      long leftoverCpuMillis =
          (worker.freeResources.cpuMillis() - requiredCpuMillis) % requiredCpuMillis;
      if (best == null
          || isBetter(meetsObjective, isFar, kindFactor, slowdown, leftoverCpuMillis)) {
        best = worker;
        bestSlowdown = slowdown;
        bestKindFactor = kindFactor;
        bestMeetsObjective = meetsObjective;
        bestIsFar = isFar;
        bestLeftoverCpuMillis = leftoverCpuMillis;
      }
    }

    private boolean isBetter(
        boolean meetsObjective,
        boolean isFar,
        double kindFactor,
        double slowdown,
        long leftoverCpuMillis) {
      if (meetsObjective != bestMeetsObjective) {
        return meetsObjective;
      }
      if (!meetsObjective) {
        boolean equal = slowdown < bestSlowdown * (1 + TIE_TOLERANCE);
        return slowdown < bestSlowdown * (1 - TIE_TOLERANCE)
            || equal && leftoverCpuMillis < bestLeftoverCpuMillis;
      }
      if (isFar != bestIsFar) {
        return bestIsFar;
      }
      boolean equal = kindFactor > bestKindFactor * (1 - TIE_TOLERANCE);
      return kindFactor > bestKindFactor * (1 + TIE_TOLERANCE)
          || equal && leftoverCpuMillis < bestLeftoverCpuMillis;
    }

    @Override
    public WorkerSelector.Choice best() {
      if (best == null || bestIsFar && waitsForLocality()) {
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

    /**
     * Returns whether the task should wait for a worker near its data instead of running on a
     * remote one now.
     */
    private boolean isWaitWorthwhile() {
      int waitingTasks = waitingTasksOfStep();
      List<Double> waits = new ArrayList<>();
      double bestLocalFactor = Double.MAX_VALUE;
      for (Worker worker : workers.all()) {
        if (!WorkerSelector.isFar(task.spec(), worker)
            && WorkerSelector.canRun(task, worker, now)
            && worker.isUsable(now)) {
          addWaits(worker, waitingTasks, waits);
          bestLocalFactor = Math.min(bestLocalFactor, durations.workerFactor(worker));
        }
      }
      double latestStart = slack.latestStart(task, micros, bestLocalFactor, now);
      if (waits.isEmpty() || now > latestStart) {
        return false;
      }
      Collections.sort(waits);
      boolean startsInTime =
          waitingTasks <= waits.size() && now + waits.get(waitingTasks - 1) <= latestStart;
      return startsInTime || bestSlowdown > expectedMaxSlowdown;
    }

    /**
     * Returns the number of waiting tasks of the step. The last of them determines when the job
     * ends.
     */
    private int waitingTasksOfStep() {
      int count = 0;
      for (Task each : task.job.waitingTasks()) {
        count += each.ref.step() == task.ref.step() ? 1 : 0;
      }
      return count;
    }

    /**
     * Adds the predicted waits until a worker has capacity for each additional task, for as many
     * tasks as are waiting.
     */
    private void addWaits(Worker worker, int waitingTasks, List<Double> waits) {
      List<Run> runs = new ArrayList<>(worker.runs.values());
      runs.sort(Comparator.comparingDouble(run -> run.remainingMicros(now)));
      Resources free = worker.freeResources;
      int places = 0;
      for (Run run : runs) {
        free = free.plus(run.need);
        while (places < waitingTasks && free.covers(task.spec().need())) {
          free = free.minus(task.spec().need());
          waits.add(run.remainingMicros(now));
          places++;
        }
      }
    }
  }
}
