package org.marjoramhoist.model;

/** Tells what is known of whether work was started. */
public enum RunState {
  /** It is proved that nothing of the work was started, and that nothing will be. */
  NOT_RUN,
  /** At least a part of the work was started. */
  RAN,
  /** Whether the work was started can't be told. */
  UNKNOWN
}
