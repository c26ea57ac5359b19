package org.marjoramhoist.connection;

/**
 * Closes a connection.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the connection
 * @param cause why; the client of a request that took too long is told so before
 */
public record ConnectionAction(ConnectionId id, CloseCause cause) {}
