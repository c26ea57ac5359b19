package org.marjoramhoist.standin;

/**
 * How a worker stand-in misbehaves.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slowness how much longer than its size a task takes
 * @param failAll whether every task fails at once
 * @param silent whether connections are held open without a reply
 * @param leaving whether new attempts are refused since the worker leaves
 * @param loseReplies whether the connection is cut instead of the reply being sent
 */
public record WorkerFaults(
    double slowness, boolean failAll, boolean silent, boolean leaving, boolean loseReplies) {

  /** A worker that behaves. */
  public static final WorkerFaults NONE = new WorkerFaults(1, false, false, false, false);

  /** Returns a worker that takes so many times as long. */
  public static WorkerFaults slow(double factor) {
    return new WorkerFaults(factor, false, false, false, false);
  }
}
