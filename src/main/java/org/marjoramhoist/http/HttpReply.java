package org.marjoramhoist.http;

/**
 * A server's reply.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record HttpReply(int status, String body) {}
