package org.marjoramhoist.model;

/**
 * What a single request of a client may cost, as the operator sets it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxHeadBytes the longest head, from the request line to the empty line after the headers
 * @param maxBodyBytes the longest body, without its transfer coding
 * @param headTimeoutMillis how long a head may take from its first byte
 * @param idleTimeoutMillis how long a connection may be idle, a body may take, and a response may
 *     stay unread
 */
public record RequestLimits(
    int maxHeadBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {

  /** The limits of a host that knows no others. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 262_144, 3_000, 15_000);
}
