package org.marjoramhoist.connection;

/** Connections that share a bound on their number. */
public enum ConnectionGroup {
  /** Connections of callers. */
  CALLERS,
  /** Connections of load balancers and of those who read metrics. */
  CHECKS,
  /** Connections that other hosts opened. */
  PEERS
}
