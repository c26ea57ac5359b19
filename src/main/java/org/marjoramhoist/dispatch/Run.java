package org.marjoramhoist.dispatch;

import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;

/**
 * One run of a task that may be running on a worker.
 *
 * <p>Invariant: it holds its resources on the worker until it is known to be over. Confined to one
 * thread.
 */
final class Run {

  /** The state of a run as far as the leader knows it. */
  enum Phase {
    /** The start order has not been answered. */
    STARTING,
    /** The worker has accepted the run. */
    RUNNING,
    /** The run may exist, and a stop order has been sent. */
    STOPPING,
    /**
     * The stop order was confirmed; the outcome is known once a report is received that was
     * requested later.
     */
    STOPPED
  }

  /** The longest time between two progress updates of a run that is not stalled. */
  private static final long STALL_TIMEOUT_MICROS = 450_000;

  /**
   * The expected remaining time of a run that exceeded its predicted run time, as a fraction of the
   * elapsed time.
   */
  private static final double OVERRUN_SHARE = 0.25;

  private static final int MIN_PERCENT = 5;
  private static final double PERCENT = 100.0;

  final RunRef ref;
  final Task task;
  final Worker worker;
  final Resources need;
  final long orderedAt;
  final double predictedMicros;

  private final boolean exclusive;
  private long startLeaseMillis;

  /** The run time predicted for a worker that is not slow; 0 if it is unknown. */
  private final double usualMicros;

  Phase phase = Phase.STARTING;

  /**
   * When the start order, or the stop order after that, was answered; {@link Long#MAX_VALUE} if a
   * stop order was not.
   */
  long answeredAt;

  /** How its start order failed; null if that was answered, or may still be. */
  DispatchEvent.StartUnanswered unanswered;

  int progressPercent;
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
    this.usualMicros = predictedMicros / worker.observedSlowness;
    this.progressedAt = orderedAt;
    this.exclusive = worker.reservedFor == task;
  }

  /** Returns when the lease of its start order ends, on its worker's clock. */
  long startLeaseMillis() {
    return startLeaseMillis;
  }

  /** Lets the lease of its start order end at a time at the latest. */
  void limitStartLease(long latestMillis) {
    startLeaseMillis = Math.min(startLeaseMillis, latestMillis);
  }

  void startConfirmed(long now) {
    phase = Phase.RUNNING;
    answeredAt = now;
    progressedAt = now;
  }

  void recordProgress(int newPercent, long now) {
    if (newPercent > progressPercent) {
      progressPercent = newPercent;
      progressedAt = now;
    }
  }

  /** Tells whether its worker was to run nothing else. */
  boolean isExclusive() {
    return exclusive;
  }

  /**
   * Returns the predicted remaining time; for a run that exceeded its prediction, a fraction of the
   * elapsed time.
   */
  double remainingMicros(long now) {
    double elapsedMicros = now - orderedAt;
    return Math.max(predictedMicros - elapsedMicros, OVERRUN_SHARE * elapsedMicros);
  }

  /** Tells whether it is over because its worker was lost, given why it is over. */
  boolean isLostWithWorker(LossCause cause) {
    return switch (cause) {
      case LEASE_EXPIRED -> !worker.isReachable() || worker.replaced;
      case NOT_THERE -> orderedAt < worker.restartedAt;
      default -> false;
    };
  }

  /**
   * Tells whether its start order was not answered though nothing is known against its worker,
   * given why it is over.
   */
  boolean isLeftUnanswered(LossCause cause) {
    if (unanswered == null) {
      return false;
    }
    return switch (cause) {
      case NOT_THERE -> orderedAt >= worker.restartedAt;
      case STOPPED -> true;
      case NOT_SENT -> unanswered.failure() == CallFailure.INVALID;
      default -> false;
    };
  }

  /** Tells whether reports have shown no progress for longer than the stall timeout. */
  boolean isStalled() {
    boolean running =
        phase == Phase.RUNNING && answeredAt != Long.MAX_VALUE && progressPercent < 100;
    return running && worker.lastReportAt - progressedAt > STALL_TIMEOUT_MICROS;
  }

  /**
   * Returns how many times as long as on a worker that is not slow it will take: extrapolated from
   * its progress, or at least its age once it has exceeded the prediction; 0 if that is unknown.
   */
  double slowness(long now) {
    if (phase != Phase.RUNNING || usualMicros <= 0 || now <= answeredAt) {
      return 0;
    }
    double byAge = (now - answeredAt) / usualMicros;
    double byProgress =
        progressPercent >= MIN_PERCENT
            ? (progressedAt - answeredAt) * PERCENT / progressPercent / usualMicros
            : 0;
    return byProgress > 0 || byAge > 1 ? Math.max(byProgress, byAge) : 0;
  }

  /** Returns its run time over that predicted for a worker that is not slow; 0 if unknown. */
  double runTimeRatio(long now) {
    return usualMicros > 0 ? (now - orderedAt) / usualMicros : 0;
  }
}
