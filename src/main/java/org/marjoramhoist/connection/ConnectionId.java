package org.marjoramhoist.connection;

/**
 * Identifies a connection; later connections have higher numbers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the number
 */
public record ConnectionId(long value) {}
