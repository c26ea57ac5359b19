package org.marjoramhoist.dispatch;

/**
 * A worker's answer to an order to start a run.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param verdict what the worker did
 * @param clockMillis the worker's steady clock; 0 if it did not say
 */
public record StartReply(Verdict verdict, long clockMillis) {

  /** What a worker did with an order. */
  public enum Verdict {
    /** The run is there. */
    STARTED,
    /** The worker has seen a higher fencing token. */
    STALE_TOKEN,
    /** The run number is not higher than one that ended or was stopped there. */
    STALE_RUN,
    /** The end of the lease had passed. */
    LATE,
    /** The run does not fit beside what runs there. */
    NO_ROOM,
    /** The worker is unhealthy and has done nothing. */
    UNHEALTHY,
    /** Another worker, or another life of it, answers at the address. */
    OTHER_WORKER,
    /** The order was rejected for another reason. */
    REJECTED
  }
}
