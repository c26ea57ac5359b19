package org.marjoramhoist.connection;

import java.util.HashMap;
import java.util.Map;
import org.marjoramhoist.model.SharedBound;

/**
 * The bytes that are held for connections in one pool.
 *
 * <p>Invariant: the sum never exceeds the bound. Confined to one thread.
 */
final class HeldBytes {

  private final SharedBound bound;
  private final Map<ConnectionId, Long> shares = new HashMap<>();
  private long sum;

  HeldBytes(long max) {
    this.bound = new SharedBound(max);
  }

  long sum() {
    return sum;
  }

  long of(ConnectionId id) {
    return shares.getOrDefault(id, 0L);
  }

  /**
   * Sets the bytes held for a connection. A lower number than before always succeeds.
   *
   * @return whether they may be held; if not, the earlier number stays
   */
  boolean set(ConnectionId id, long bytes) {
    long before = of(id);
    if (bytes > before && !bound.admits(sum - before, bytes)) {
      return false;
    }
    sum += bytes - before;
    if (bytes == 0) {
      shares.remove(id);
    } else {
      shares.put(id, bytes);
    }
    return true;
  }

  void release(ConnectionId id) {
    set(id, 0);
  }
}
