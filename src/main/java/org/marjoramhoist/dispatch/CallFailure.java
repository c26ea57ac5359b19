package org.marjoramhoist.dispatch;

/** Why a call to a worker got no reply. */
public enum CallFailure {
  /** Nothing accepts connections at the worker's address, though its machine answers. */
  REFUSED,
  /** The connection ended before the reply. */
  BROKEN,
  /** Nothing was heard in time. */
  SILENT
}
