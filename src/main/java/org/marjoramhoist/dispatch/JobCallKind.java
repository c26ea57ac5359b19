package org.marjoramhoist.dispatch;

/** The kind of an entry host's call about a durable job. */
public enum JobCallKind {
  /** Submits the job. */
  SUBMIT,

  /** Queries its status. */
  STATUS,

  /** Cancels it. */
  CANCEL
}
