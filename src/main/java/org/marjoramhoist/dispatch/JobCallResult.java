package org.marjoramhoist.dispatch;

/** What became of a call about a durable job. */
public enum JobCallResult {
  /** It was carried out, and what it changed is stored. */
  DONE,
  /** The job was not accepted and never runs. */
  REFUSED,
  /** There is no such job. */
  UNKNOWN_JOB,
  /** Nobody can say whether it was carried out; an entry host tells this, a leader never does. */
  UNKNOWN
}
