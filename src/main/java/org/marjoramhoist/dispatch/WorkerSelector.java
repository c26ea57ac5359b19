package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;

/**
 * Determines the workers that may run a task and selects one by a placement strategy.
 *
 * <p>Confined to one thread.
 */
final class WorkerSelector {

  private final DispatchPolicy policy;
  private final DurationModel durations;
  private final PlacementStrategy strategy;
  private final SlowWorkerAvoidance avoidance;
  private long starts;
  private long fastStarts;
  private long farStarts;

  WorkerSelector(
      DispatchPolicy policy,
      DurationModel durations,
      PlacementStrategy strategy,
      SlowWorkerAvoidance avoidance) {
    this.policy = policy;
    this.avoidance = avoidance;
    this.durations = durations;
    this.strategy = strategy;
  }

  /**
   * A worker selected for a task.
   *
   * @param worker the worker
   * @param predictedMicros the predicted run time on that worker
   */
  record Choice(Worker worker, double predictedMicros) {}

  /**
   * Returns the worker on which to start a task.
   *
   * @param workers usable workers
   * @return the selection; null if no worker has enough free capacity or if the task should wait
   */
  Choice selectWorker(Task task, Collection<Worker> workers, long now) {
    double micros = predict(task);
    PlacementStrategy.Selection selection = strategy.newSelection(task, micros, now);
    for (Worker worker : workers) {
      if (worker.freeResources.covers(task.spec().need())
          && selection.isEligible(worker)
          && isFreeCapacityKnown(task, worker, now)
          && canRun(task, worker, now)) {
        double slowdown = slowdownOn(task, worker);
        if (!avoidance.avoids(task, worker, micros * slowdown, now)) {
          selection.addCandidate(worker, slowdown);
        }
      }
    }
    Choice choice = selection.best();
    if (choice != null) {
      recordStart(task, choice.worker());
    }
    return choice;
  }

  /**
   * Tells whether the free capacity of a worker is known, as it must be if the worker starts tasks
   * beyond it. An idle worker may be used by another leader at the same moment.
   */
  private static boolean isFreeCapacityKnown(Task task, Worker worker, long now) {
    if (!task.job.requestClass().startsBeyondCapacity()) {
      return true;
    }
    worker.startsBeyondCapacity = true;
    return worker.isExclusive() && worker.isCapacityKnown(now);
  }

  private void recordStart(Task task, Worker worker) {
    starts++;
    fastStarts += durations.workerKindFactor(worker) < 1 ? 1 : 0;
    farStarts += isFar(task.spec(), worker) ? 1 : 0;
  }

  /**
   * Returns the start counters of this term.
   *
   * @param window the window of outstanding start orders
   */
  DispatchSnapshot.Starts stats(StartWindow window) {
    return new DispatchSnapshot.Starts(starts, fastStarts, farStarts, window.limit());
  }

  /** Returns whether a worker with enough free capacity can run a task now. */
  static boolean canRun(Task task, Worker worker, long now) {
    return satisfiesConstraints(task.job.requestClass(), task.spec(), worker)
        && !task.avoids(worker, now)
        && isBelowStepLimit(task, worker);
  }

  private static boolean isBelowStepLimit(Task task, Worker worker) {
    int max = task.spec().maxPerWorker();
    return max == 0 || worker.countRuns(task.job, task.ref.step()) < max;
  }

  /** Returns whether a worker could run a step if it were idle and had its largest capacity. */
  static boolean canEverRun(RequestClass requestClass, StepSpec step, Worker worker) {
    return worker.info().largestCapacity().covers(step.need())
        && satisfiesConstraints(requestClass, step, worker);
  }

  /** Returns whether a worker could run a task if it were idle and had its largest capacity. */
  static boolean canEverRun(Task task, Worker worker) {
    return canEverRun(task.job.requestClass(), task.spec(), worker);
  }

  private static boolean satisfiesConstraints(
      RequestClass requestClass, StepSpec step, Worker worker) {
    return worker.info().upstream().equals(requestClass.upstream())
        && (step.requiredLabel().isEmpty()
            || worker.info().labels().contains(step.requiredLabel()));
  }

  /** Returns whether a worker is remote from the data of a step. */
  static boolean isFar(StepSpec step, Worker worker) {
    return !step.preferredRack().isEmpty() && !step.preferredRack().equals(worker.info().rack());
  }

  /**
   * Returns the factor by which the run time of a step increases on a worker because of data
   * locality.
   */
  private double localityFactor(StepSpec step, Worker worker) {
    return isFar(step, worker) ? policy.farFactor() : 1;
  }

  /** Returns the predicted run time of a task on an average worker, in microseconds. */
  private double predict(Task task) {
    double base =
        durations.predictMicros(task.job.requestClass().name(), task.spec().estimateMillis());
    return base * task.job.biasFactor();
  }

  /** Returns the predicted run time of a task on a worker, divided by that on an average worker. */
  private double slowdownOn(Task task, Worker worker) {
    return durations.workerFactor(worker)
        * worker.observedSlowness
        * localityFactor(task.spec(), worker);
  }

  /** Updates the duration model with a successful run. */
  void recordCompletion(Run run, long now) {
    if (run.predictedMicros <= 0) {
      return;
    }
    StepSpec step = run.task.spec();
    Job job = run.task.job;
    String requestClass = job.requestClass().name();
    double micros = (now - run.orderedAt) / localityFactor(step, run.worker);
    double expected = durations.predictMicros(requestClass, run.worker, step.estimateMillis());
    job.setBiasFactor(Math.max(1, micros) / expected);
    durations.learn(requestClass, run.worker, step.estimateMillis(), micros);
  }

  /** Returns the usable workers whose free capacity covers the given minimum. */
  static List<Worker> withFreeCapacity(Collection<Worker> workers, Resources minimum, long now) {
    List<Worker> matching = new ArrayList<>();
    for (Worker worker : workers) {
      if (hasFreeCapacity(worker, minimum, now)) {
        matching.add(worker);
      }
    }
    return matching;
  }

  /**
   * Returns the maximum free CPU capacity of any of the given workers, in thousandths of a core.
   */
  static long maxFreeCpuMillis(List<Worker> workers) {
    long max = 0;
    for (Worker worker : workers) {
      max = Math.max(max, worker.freeResources.cpuMillis());
    }
    return max;
  }

  /** Returns whether a worker is usable and its free capacity covers the given minimum. */
  static boolean hasFreeCapacity(Worker worker, Resources minimum, long now) {
    return worker.freeResources.covers(minimum) && worker.isUsable(now);
  }
}
