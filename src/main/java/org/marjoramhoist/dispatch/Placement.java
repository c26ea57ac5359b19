package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;

/**
 * Chooses the worker for a task: the one on which it is done first, and among equals the one that
 * it fills best.
 *
 * <p>Confined to one thread.
 */
final class Placement {

  /** Run times that differ by less than this share are taken for equal. */
  private static final double TIE_SHARE = 0.05;

  private final DispatchPolicy policy;
  private final DurationModel durations;

  Placement(DispatchPolicy policy, DurationModel durations) {
    this.policy = policy;
    this.durations = durations;
  }

  /**
   * A worker for a task.
   *
   * @param worker the worker
   * @param micros the expected run time there
   */
  record Choice(Worker worker, double micros) {}

  /**
   * Returns the best worker for a task; null if none has room for it.
   *
   * @param workers workers that may be given work now
   */
  Choice choose(Task task, Collection<Worker> workers) {
    double micros = predict(task);
    Worker best = null;
    double bestMicros = Double.MAX_VALUE;
    long bestLeft = Long.MAX_VALUE;
    for (Worker worker : workers) {
      if (!worker.free.covers(task.spec().need()) || !mayRun(task, worker)) {
        continue;
      }
      double there = micros * factorOf(task, worker);
      long left = worker.free.cpuMillis() - task.spec().need().cpuMillis();
      boolean shorter = there < bestMicros * (1 - TIE_SHARE);
      boolean equal = there < bestMicros * (1 + TIE_SHARE);
      if (best == null || shorter || equal && left < bestLeft) {
        best = worker;
        bestMicros = there;
        bestLeft = left;
      }
    }
    return best == null ? null : new Choice(best, bestMicros);
  }

  private static boolean mayRun(Task task, Worker worker) {
    return fits(task.job.requestClass(), task.spec(), worker)
        && !worker.id().equals(task.failedOn)
        && hasRoomForStep(task, worker);
  }

  private static boolean hasRoomForStep(Task task, Worker worker) {
    int most = task.spec().maxPerWorker();
    return most == 0 || worker.countOf(task.job, task.ref.step()) < most;
  }

  /** Tells whether a worker could run a step if it were empty. */
  static boolean canEverRun(RequestClass requestClass, StepSpec step, Worker worker) {
    return worker.info().capacity().covers(step.need()) && fits(requestClass, step, worker);
  }

  private static boolean fits(RequestClass requestClass, StepSpec step, Worker worker) {
    return worker.info().upstream().equals(requestClass.upstream())
        && (step.requiredLabel().isEmpty()
            || worker.info().labels().contains(step.requiredLabel()));
  }

  private static boolean isFar(StepSpec step, Worker worker) {
    return !step.preferredRack().isEmpty() && !step.preferredRack().equals(worker.info().rack());
  }

  /** Returns how many times as long a step runs on a worker for its distance to the data. */
  private double distanceFactor(StepSpec step, Worker worker) {
    return isFar(step, worker) ? policy.farFactor() : 1;
  }

  /** Returns the expected run time of a task on an average worker, in microseconds. */
  private double predict(Task task) {
    double base =
        durations.predictMicros(task.job.requestClass().name(), task.spec().estimateMillis());
    return base * task.job.biasFactor();
  }

  /** Returns how many times as long a task runs on a worker as on an average one. */
  private double factorOf(Task task, Worker worker) {
    return durations.factorOf(worker)
        * worker.observedSlowness
        * distanceFactor(task.spec(), worker);
  }

  /** Learns from a run that was done. */
  void learn(Run run, long now) {
    if (run.predictedMicros <= 0) {
      return;
    }
    StepSpec step = run.task.spec();
    Job job = run.task.job;
    String requestClass = job.requestClass().name();
    double micros = (now - run.orderedAt) / distanceFactor(step, run.worker);
    double expected = durations.predictMicros(requestClass, run.worker, step.estimateMillis());
    job.learnBias(Math.max(1, micros) / expected);
    durations.learn(requestClass, run.worker, step.estimateMillis(), micros);
  }

  /** Returns the workers that may be given work now and have room for the least need. */
  static List<Worker> withRoom(Collection<Worker> workers, Resources least, long now) {
    List<Worker> roomy = new ArrayList<>();
    for (Worker worker : workers) {
      if (hasRoom(worker, least, now)) {
        roomy.add(worker);
      }
    }
    return roomy;
  }

  /** Returns the most processor room of any of these workers, in thousandths of a core. */
  static long mostCpuMillis(List<Worker> workers) {
    long most = 0;
    for (Worker worker : workers) {
      most = Math.max(most, worker.free.cpuMillis());
    }
    return most;
  }

  /** Tells whether a worker may be given work now and has room for the least need. */
  static boolean hasRoom(Worker worker, Resources least, long now) {
    return worker.free.covers(least) && worker.isUsable(now);
  }
}
