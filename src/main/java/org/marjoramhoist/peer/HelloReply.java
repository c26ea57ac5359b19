package org.marjoramhoist.peer;

/**
 * The answer to a hello.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param hello who answers
 * @param refusal why the connection is refused; empty if it is accepted
 */
public record HelloReply(Hello hello, String refusal) {}
