package org.marjoramhoist.peer;

import org.marjoramhoist.model.HostRef;

/**
 * The first frame on a connection: who dials, and what it speaks.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param protocol the newest protocol that the sender speaks
 * @param minProtocol the oldest protocol that the sender speaks
 * @param host the sender
 * @param address {@code host:port} of the sender's peer listener
 * @param domain the sender's failure domain
 * @param layout names the failure domains and shards that the sender is set to
 */
public record Hello(
    int protocol, int minProtocol, HostRef host, String address, String domain, String layout) {

  /** The protocol that this version speaks. */
  public static final int PROTOCOL = 1;

  /** The oldest protocol that this version speaks. */
  public static final int MIN_PROTOCOL = 1;

  /**
   * Returns why the two can't work together.
   *
   * @param other the hello of the other side
   * @return the reason; empty if they can
   */
  public String incompatibilityWith(Hello other) {
    if (other.protocol < minProtocol || protocol < other.minProtocol) {
      return "protocol "
          + other.minProtocol
          + " to "
          + other.protocol
          + " does not overlap "
          + minProtocol
          + " to "
          + protocol;
    }
    if (!layout.equals(other.layout)) {
      return "claim layout " + other.layout + " differs from " + layout;
    }
    return "";
  }
}
