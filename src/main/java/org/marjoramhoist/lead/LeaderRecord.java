package org.marjoramhoist.lead;

/**
 * The record in the store that names the leader. Its revision is the leader's term and its fencing
 * token.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the leader
 * @param incarnation distinguishes successive runs of the leader's process
 */
public record LeaderRecord(String host, long incarnation) {}
