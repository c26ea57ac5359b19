package org.marjoramhoist.decision;

/**
 * What is known of an attempt.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface Outcome {

  /** The task has run and yielded a result. */
  record Succeeded(String value, long runMicros) implements Outcome {}

  /** The task was started and failed. */
  record Failed(String detail, long runMicros) implements Outcome {}

  /**
   * The worker has not started the task and never will under this attempt.
   *
   * @param reason why
   * @param leaving whether the worker said that it leaves
   */
  record NotStarted(String reason, boolean leaving) implements Outcome {}

  /** No connection could be made, so nothing was sent. */
  record NotSent(String reason) implements Outcome {}

  /** The worker still runs the task. */
  record Running() implements Outcome {}

  /** The worker has restarted since and knows nothing of the attempt. */
  record Forgotten() implements Outcome {}

  /** The connection broke or went silent after the request was written. */
  record Unknown(String reason) implements Outcome {}
}
