package org.marjoramhoist.dispatch;

import org.marjoramhoist.dispatch.WorkerReport.Completion;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;

/**
 * What a worker's reports tell about the lease that another leader may have granted it.
 *
 * <p>The other leader takes its run for lost once the lease that it granted has expired, and starts
 * the task again. If the job is durable, it must not find out later that the run had ended by
 * itself while the worker's lease never lapsed. Whoever extends that lease meanwhile would cause
 * just this.
 *
 * <p>Invariant: {@link #hasLapsed} is true only if the worker's lease has lapsed since the last run
 * of a durable job of another leader ended by itself on it, as far as it has reported such an end
 * that is still to be acknowledged. An active run is not covered. Orders that are executed late
 * need no extra time: a worker rejects a start, and ignores an extension, whose deadline has
 * passed, and each deadline is at most a lease after the order was sent. Confined to one thread.
 */
final class ForeignLease {

  /** Covers the error of the other leader's estimate of the worker's clock. */
  private static final long MARGIN_MILLIS = 60;

  private long lastUsedMillis;
  private boolean mayBeValid;
  private boolean inheritsLapse;

  /** Handles a completion that the worker has not reported before, in the order of reports. */
  void runCompleted(Completion completion, boolean isOwn, long clockMillis) {
    if (completion.outcome() == RunOutcome.LAPSED) {
      mayBeValid = false;
    } else if (!isOwn && isDecisive(completion)) {
      mayBeValid = true;
      lastUsedMillis = clockMillis;
    }
  }

  /** Tells whether the other leader must not learn of an end after it has repeated the run. */
  private static boolean isDecisive(Completion completion) {
    boolean endedByItself =
        completion.outcome() == RunOutcome.DONE || completion.outcome() == RunOutcome.FAILED;
    return endedByItself && Job.mayBeDurable(completion.run().number());
  }

  /**
   * Handles a report that contains an active run of another leader, which may have extended the
   * lease until then.
   */
  void runIsActive(long clockMillis) {
    lastUsedMillis = clockMillis;
  }

  /**
   * Handles a report, after its completions and its active runs.
   *
   * @param leaseMillis the maximum duration of a lease
   */
  void reported(long clockMillis, long leaseMillis) {
    boolean expired = clockMillis > lastUsedMillis + leaseMillis + MARGIN_MILLIS;
    if (expired || inheritsLapse) {
      mayBeValid = false;
    }
    inheritsLapse = false;
  }

  /** Lets the first report count as of after a lapse, which the predecessor of this leader saw. */
  void inheritLapse() {
    inheritsLapse = true;
  }

  /** Returns whether an order of this leader can extend no lease that another one relies on. */
  boolean hasLapsed() {
    return !mayBeValid;
  }
}
