package org.marjoramhoist.dispatch;

/**
 * A worker's reply to a start order.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param verdict what the worker did
 * @param clockMillis the worker's steady clock; 0 if it is unknown
 */
public record StartReply(Verdict verdict, long clockMillis) {

  /** What a worker did with a start order. */
  public enum Verdict {
    /** The run exists. */
    STARTED,
    /** The worker has seen a higher fencing token. */
    STALE_TOKEN,
    /**
     * The run number is not higher than that of a run of the task that ended or was stopped there.
     */
    STALE_RUN,
    /** The lease had already expired. */
    LATE,
    /** The run does not fit into the worker's free resources. */
    NO_ROOM,
    /** The worker is unhealthy and has not started the run. */
    UNHEALTHY,
    /** Another worker, or another incarnation of it, replied at the address. */
    OTHER_WORKER,
    /** The order was rejected for another reason. */
    REJECTED
  }
}
