package org.marjoramhoist.dispatch;

/** What an entry host asks of the leader about a durable job. */
public enum JobCallKind {
  /** Accept the job. */
  SUBMIT,
  /** Tell its status. */
  STATUS,
  /** Cancel it. */
  CANCEL
}
