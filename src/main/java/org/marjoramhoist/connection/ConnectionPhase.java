package org.marjoramhoist.connection;

/** What a connection is waiting for. */
public enum ConnectionPhase {
  /** The first request; none was received yet. */
  NEW,
  /** The next request. */
  IDLE,
  /** The rest of a head. */
  HEAD,
  /** The rest of a body. */
  BODY,
  /** The response to a whole request, which this host owes. */
  EXCHANGE,
  /** The client, which doesn't read the response. */
  UNREAD,
  /** The end of the connection, after a refusal. */
  CLOSING
}
