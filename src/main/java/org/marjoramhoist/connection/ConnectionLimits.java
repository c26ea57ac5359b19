package org.marjoramhoist.connection;

/**
 * What the connections of clients may use in sum.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxCallers the most connections of callers
 * @param maxChecks the most connections of load balancers and of those who read metrics
 * @param maxPeers the most connections that other hosts opened
 * @param maxLingering the most connections whose refused clients are waited for
 * @param maxUnfinishedBytes the most bytes held for requests that are not complete
 * @param maxOpenBytes the most bytes held for complete requests until their responses are written
 * @param maxPeerBytes the most bytes held for the connections that other hosts opened
 */
public record ConnectionLimits(
    int maxCallers,
    int maxChecks,
    int maxPeers,
    int maxLingering,
    long maxUnfinishedBytes,
    long maxOpenBytes,
    long maxPeerBytes) {

  /** The limits of a process with a heap of 96 MiB and 4,096 descriptors. */
  public static final ConnectionLimits DEFAULT =
      new ConnectionLimits(1_948, 32, 512, 32, 12 << 20, 12 << 20, 12 << 20);

  long maxOf(MemoryPool pool) {
    return switch (pool) {
      case UNFINISHED -> maxUnfinishedBytes;
      case OPEN -> maxOpenBytes;
      case PEERS -> maxPeerBytes;
    };
  }

  int maxOf(ConnectionGroup group) {
    return switch (group) {
      case CALLERS -> maxCallers;
      case CHECKS -> maxChecks;
      case PEERS -> maxPeers;
    };
  }
}
