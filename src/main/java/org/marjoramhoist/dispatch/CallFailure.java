package org.marjoramhoist.dispatch;

/** Why a call to a worker got no reply. */
public enum CallFailure {
  /** Nothing accepts connections at the worker's address, though its machine answers. */
  REFUSED,
  /** The connection ended before the reply. */
  BROKEN,
  /** Nothing was heard in time. */
  SILENT,
  /** The call could not be made, or its reply could not be read. */
  INVALID
}
