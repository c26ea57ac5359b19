package org.marjoramhoist.connection;

/** Memory with a bound of its own; a connection uses one at a time. */
public enum MemoryPool {
  /** For requests that are not complete, and what is read ahead of them. */
  UNFINISHED,
  /** For complete requests until their responses are written. */
  OPEN,
  /** For what other hosts send and have not read yet. */
  PEERS
}
