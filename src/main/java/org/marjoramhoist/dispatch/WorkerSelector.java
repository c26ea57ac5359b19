package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;

/**
 * Finds the workers that may run a task, and lets a rule choose among them.
 *
 * <p>Confined to one thread.
 */
final class WorkerSelector {

  private final DispatchPolicy policy;
  private final DurationModel durations;
  private final PlacementStrategy strategy;
  private long starts;
  private long fastStarts;
  private long farStarts;

  WorkerSelector(DispatchPolicy policy, DurationModel durations, PlacementStrategy rule) {
    this.policy = policy;
    this.durations = durations;
    this.strategy = rule;
  }

  /**
   * A worker for a task.
   *
   * @param worker the worker
   * @param predictedMicros the expected run time there
   */
  record Choice(Worker worker, double predictedMicros) {}

  /**
   * Returns the best worker for a task; null if none has room for it or it had better wait.
   *
   * @param workers workers that may be given work now
   */
  Choice selectWorker(Task task, Collection<Worker> workers, long now) {
    PlacementStrategy.Selection selection = strategy.newSelection(task, predict(task), now);
    for (Worker worker : workers) {
      if (worker.freeResources.covers(task.spec().need())
          && selection.isEligible(worker)
          && mayRun(task, worker)) {
        selection.addCandidate(worker, slowdownOn(task, worker));
      }
    }
    Choice choice = selection.best();
    if (choice != null) {
      recordStart(task, choice.worker());
    }
    return choice;
  }

  private void recordStart(Task task, Worker worker) {
    starts++;
    fastStarts += durations.workerKindFactor(worker) < 1 ? 1 : 0;
    farStarts += isFar(task.spec(), worker) ? 1 : 0;
  }

  /**
   * Returns the choices of this term in figures.
   *
   * @param window the bound on orders under way
   */
  DispatchSnapshot.Starts stats(StartWindow window) {
    return new DispatchSnapshot.Starts(starts, fastStarts, farStarts, window.limit());
  }

  /** Tells whether a worker may run a task once it has room. */
  static boolean mayRun(Task task, Worker worker) {
    return satisfiesConstraints(task.job.requestClass(), task.spec(), worker)
        && !worker.id().equals(task.lastFailedWorker)
        && isBelowStepLimit(task, worker);
  }

  private static boolean isBelowStepLimit(Task task, Worker worker) {
    int most = task.spec().maxPerWorker();
    return most == 0 || worker.countRuns(task.job, task.ref.step()) < most;
  }

  /** Tells whether a worker could run a step if it were empty. */
  static boolean canEverRun(RequestClass requestClass, StepSpec step, Worker worker) {
    return worker.info().capacity().covers(step.need())
        && satisfiesConstraints(requestClass, step, worker);
  }

  private static boolean satisfiesConstraints(
      RequestClass requestClass, StepSpec step, Worker worker) {
    return worker.info().upstream().equals(requestClass.upstream())
        && (step.requiredLabel().isEmpty()
            || worker.info().labels().contains(step.requiredLabel()));
  }

  /** Tells whether a worker is away from the data of a step. */
  static boolean isFar(StepSpec step, Worker worker) {
    return !step.preferredRack().isEmpty() && !step.preferredRack().equals(worker.info().rack());
  }

  /** Returns how many times as long a step runs on a worker for its distance to the data. */
  private double localityFactor(StepSpec step, Worker worker) {
    return isFar(step, worker) ? policy.farFactor() : 1;
  }

  /** Returns the expected run time of a task on an average worker, in microseconds. */
  private double predict(Task task) {
    double base =
        durations.predictMicros(task.job.requestClass().name(), task.spec().estimateMillis());
    return base * task.job.biasFactor();
  }

  /** Returns how many times as long a task runs on a worker as on an average one. */
  private double slowdownOn(Task task, Worker worker) {
    return durations.workerFactor(worker)
        * worker.observedSlowness
        * localityFactor(task.spec(), worker);
  }

  /** Learns from a run that was done. */
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

  /** Returns the workers that may be given work now and have room for the least need. */
  static List<Worker> withFreeCapacity(Collection<Worker> workers, Resources least, long now) {
    List<Worker> roomy = new ArrayList<>();
    for (Worker worker : workers) {
      if (hasFreeCapacity(worker, least, now)) {
        roomy.add(worker);
      }
    }
    return roomy;
  }

  /** Returns the most processor room of any of these workers, in thousandths of a core. */
  static long maxFreeCpuMillis(List<Worker> workers) {
    long most = 0;
    for (Worker worker : workers) {
      most = Math.max(most, worker.freeResources.cpuMillis());
    }
    return most;
  }

  /** Tells whether a worker may be given work now and has room for the least need. */
  static boolean hasFreeCapacity(Worker worker, Resources least, long now) {
    return worker.freeResources.covers(least) && worker.isUsable(now);
  }
}
