package org.marjoramhoist.dispatch;

import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;

/**
 * One run of a task that may be at work on a worker.
 *
 * <p>Invariant: it counts against the worker's room until it is known to be over. Confined to one
 * thread.
 */
final class Run {

  /** What is known of a run. */
  enum Phase {
    /** The order to start is not answered yet. */
    STARTING,
    /** The worker has it. */
    RUNNING,
    /** It may be there, and an order to stop it is on its way. */
    STOPPING,
    /** The order to stop it was confirmed; a report that was asked for later tells its end. */
    STOPPED
  }

  /** The longest silence between two signs of progress, in microseconds. */
  private static final long STALL_TIMEOUT_MICROS = 450_000;

  private static final int MIN_PERCENT = 5;

  final RunRef ref;
  final Task task;
  final Worker worker;
  final Resources need;
  final long orderedAt;
  final long startLeaseMillis;
  final double predictedMicros;

  Phase phase = Phase.STARTING;

  /** When the order to start, or else the order to stop, was answered. */
  long answeredAt;

  int percent;
  long progressedAt;

  Run(
      RunRef ref,
      Task task,
      Worker worker,
      long orderedAt,
      long startLeaseMillis,
      double predictedMicros) {
    this.ref = ref;
    this.task = task;
    this.worker = worker;
    this.need = task.spec().need();
    this.orderedAt = orderedAt;
    this.startLeaseMillis = startLeaseMillis;
    this.predictedMicros = predictedMicros;
    this.progressedAt = orderedAt;
  }

  void startConfirmed(long now) {
    phase = Phase.RUNNING;
    answeredAt = now;
    progressedAt = now;
  }

  void recordProgress(int now, long at) {
    if (now > percent) {
      percent = now;
      progressedAt = at;
    }
  }

  /** Tells whether reports have shown no progress for too long. */
  boolean isStalled() {
    boolean atWork = phase == Phase.RUNNING && answeredAt != Long.MAX_VALUE && percent < 100;
    return atWork && worker.lastReportAt - progressedAt > STALL_TIMEOUT_MICROS;
  }

  /**
   * Returns how many times as long as predicted it will run, as far as its progress shows; or 0.
   */
  double slowness(long now) {
    long elapsed = now - answeredAt;
    if (percent < MIN_PERCENT || predictedMicros <= 0 || elapsed <= 0) {
      return 0;
    }
    return elapsed * 100.0 / percent / predictedMicros;
  }
}
