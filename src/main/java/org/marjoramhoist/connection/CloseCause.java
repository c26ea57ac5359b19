package org.marjoramhoist.connection;

/** Why a connection of a client is closed. */
public enum CloseCause {
  /** No request was received for too long. */
  IDLE,
  /** A head took too long. */
  SLOW_HEAD,
  /** A body took too long. */
  SLOW_BODY,
  /** A response was not read for too long. */
  UNREAD,
  /** Another connection took its place. */
  DISPLACED,
  /** There was no place for it. */
  NO_PLACE,
  /** Others held the memory that its request needed. */
  NO_MEMORY,
  /** A refused client did not close its connection. */
  REFUSED
}
