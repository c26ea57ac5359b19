package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.marjoramhoist.dispatch.WorkerLoss.Evidence;
import org.marjoramhoist.job.TaskRef;

/**
 * The workers that were lost with a run of one task, and how the task may be run because of that.
 *
 * <p>A task that was running on a worker that crashed may have caused the crash, or another task
 * did, or none. It is therefore run alone on a worker next: if that one crashes as well, the task
 * is the cause. Invariant: a task is given up only if workers have certainly crashed under it;
 * unproved losses only delay it. Confined to one thread.
 */
final class TaskLosses {

  /** How a task may be run. */
  enum Handling {
    /** Beside other tasks. */
    SHARED,
    /** On a worker that runs nothing else. */
    EXCLUSIVE,
    /** Not before it is known what became of the workers that it was lost with. */
    HELD,
    /** Never again: it crashes its workers. */
    GIVEN_UP
  }

  /** How many crashes show the cause if one of the workers ran nothing else. */
  private static final int CRASHES_WITH_EXCLUSIVE_RUN = 2;

  /** How many crashes show the cause, whatever else the workers ran. */
  private static final int MAX_CRASHES = 3;

  /**
   * How long a task is held after two losses that are not all proved; by then another worker
   * usually has the address of one that crashed.
   */
  private static final long HOLD_MICROS = 6_000_000;

  /** How long a task is held after each further loss. */
  private static final long MAX_HOLD_MICROS = 12_000_000;

  private final TaskRef task;
  private final List<WorkerLoss> losses = new ArrayList<>();
  private long lastLossAt;
  private long heldUntil;

  /** Creates an empty list. */
  TaskLosses(TaskRef task) {
    this.task = task;
  }

  TaskRef task() {
    return task;
  }

  /** Adds a loss. */
  void add(WorkerLoss loss, long now) {
    if (!includes(loss.run())) {
      losses.add(loss);
      lastLossAt = now;
      heldUntil = now + holdMicros();
    }
  }

  private long holdMicros() {
    return suspicious() <= CRASHES_WITH_EXCLUSIVE_RUN ? HOLD_MICROS : MAX_HOLD_MICROS;
  }

  /** Tells whether the worker of a run is among the losses. */
  boolean includes(int run) {
    return losses.stream().anyMatch(loss -> loss.run() == run);
  }

  /** Tells whether a worker is among the losses. */
  boolean includesWorker(String worker) {
    return losses.stream().anyMatch(loss -> loss.worker().equals(worker));
  }

  /** Returns the losses, oldest first. */
  List<WorkerLoss> all() {
    return List.copyOf(losses);
  }

  long lastLossAt() {
    return lastLossAt;
  }

  /** Tells whether it is the likeliest cause of one of its losses. */
  boolean isLikelyCause() {
    return losses.stream().anyMatch(WorkerLoss::latest);
  }

  /**
   * Records that a worker's process ended.
   *
   * @return whether that was not known
   */
  boolean workerCrashed(String worker) {
    boolean changed = false;
    for (int i = 0; i < losses.size(); i++) {
      WorkerLoss loss = losses.get(i);
      if (loss.worker().equals(worker) && loss.evidence() != Evidence.CRASHED) {
        losses.set(i, loss.with(Evidence.CRASHED));
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Records that a worker has not crashed, so that it was only out of reach.
   *
   * @return whether it was among the losses
   */
  boolean workerAnswered(String worker) {
    return losses.removeIf(
        loss -> loss.worker().equals(worker) && loss.evidence() != Evidence.CRASHED);
  }

  /**
   * Withdraws the losses of workers that another task has crashed.
   *
   * @return whether there were any
   */
  boolean withdraw(Set<String> workers) {
    return losses.removeIf(loss -> workers.contains(loss.worker()));
  }

  /** Tells whether nothing is held against the task. */
  boolean isEmpty() {
    return losses.isEmpty();
  }

  /** Returns the ids of the workers that have certainly crashed under it. */
  Set<String> crashedWorkers() {
    return losses.stream()
        .filter(TaskLosses::isProved)
        .map(WorkerLoss::worker)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static boolean isProved(WorkerLoss loss) {
    return loss.evidence() == Evidence.CRASHED;
  }

  private int count(Evidence evidence) {
    return (int) losses.stream().filter(loss -> loss.evidence() == evidence).count();
  }

  private int suspicious() {
    return count(Evidence.CRASHED) + count(Evidence.REFUSED);
  }

  /** Returns until when it is held unless more becomes known. */
  long heldUntil() {
    return heldUntil;
  }

  /** Returns how the task may be run. */
  Handling handling(long now) {
    if (isCause()) {
      return Handling.GIVEN_UP;
    }
    int suspicious = suspicious();
    if (suspicious == 0) {
      return Handling.SHARED;
    }
    boolean awaitsProof = count(Evidence.REFUSED) > 0 && now <= heldUntil;
    return suspicious >= CRASHES_WITH_EXCLUSIVE_RUN && awaitsProof
        ? Handling.HELD
        : Handling.EXCLUSIVE;
  }

  private boolean isCause() {
    int crashes = crashedWorkers().size();
    boolean anyExclusive = losses.stream().anyMatch(loss -> loss.exclusive() && isProved(loss));
    return crashes >= MAX_CRASHES || crashes >= CRASHES_WITH_EXCLUSIVE_RUN && anyExclusive;
  }
}
