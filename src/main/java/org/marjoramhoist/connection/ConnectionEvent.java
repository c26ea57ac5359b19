package org.marjoramhoist.connection;

import org.marjoramhoist.model.RequestLimits;

/**
 * An input of {@link ConnectionTable}.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface ConnectionEvent {

  /** A connection was accepted. */
  record Opened(ConnectionId id, ConnectionGroup group) implements ConnectionEvent {}

  /** A connection waits for something else, or for the same thing after progress. */
  record Waits(ConnectionId id, ConnectionPhase phase) implements ConnectionEvent {}

  /**
   * A connection needs memory, in the only pool that it uses from now on.
   *
   * @param bytes the whole amount
   */
  record Holds(ConnectionId id, MemoryPool pool, long bytes) implements ConnectionEvent {}

  /** A connection is closed. */
  record Closed(ConnectionId id) implements ConnectionEvent {}

  /** A connection could not be accepted, as the process has too many descriptors open. */
  record AcceptFailed(ConnectionGroup group) implements ConnectionEvent {}

  /** Time has passed. */
  record Tick(RequestLimits limits) implements ConnectionEvent {}
}
