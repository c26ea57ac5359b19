package org.marjoramhoist.dispatch;

/** The result of a call about a durable job. */
public enum JobCallResult {
  /** The call succeeded, and its changes are stored. */
  DONE,
  /** The job was not accepted and will never run. */
  REFUSED,
  /** There is no such job. */
  UNKNOWN_JOB,
  /** It is unknown whether the call succeeded; reported by entry hosts only, never by a leader. */
  UNKNOWN
}
