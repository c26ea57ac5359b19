package org.marjoramhoist.decision;

/** The kinds of message that did no useful work. */
public enum Waste {
  /** An attempt that a worker refused. */
  REFUSED,
  /** A repeated start of a task whose earlier start failed. */
  RETRY,
  /** A result that nobody waits for any more. */
  LATE,
  /** A question about an attempt. */
  PROBE,
  /** A cancellation of an attempt. */
  CANCEL
}
