package org.marjoramhoist.config;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;
import org.marjoramhoist.connection.ConnectionLimits;
import org.marjoramhoist.json.StrictObject;

/**
 * Reads what the connections of clients may use, whose defaults follow from what the process has.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class ClientSettings {

  /** Descriptors that are kept for files. */
  private static final int FILE_DESCRIPTORS = 200;

  /** Callers get one part of the sockets; the rest is for the store, workers and other hosts. */
  private static final int CALLERS_PART = 2;

  /** What an idle connection takes of the heap, with its place in the server's and our tables. */
  private static final int CONNECTION_BYTES = 8 * 1_024;

  /** The parts of the heap for idle connections, and for each pool of memory. */
  private static final int CONNECTIONS_PART = 4;

  private static final int POOL_PART = 8;

  /** One half of a pool has room for a request of the default limits. */
  private static final long MIN_POOL_KIB = 2_560;

  private static final int MIN_CONNECTIONS = 16;
  private static final int MAX_CONNECTIONS = 100_000;
  private static final int CHECK_CONNECTIONS = 32;
  private static final int PEER_CONNECTIONS = 512;
  private static final int LINGERING_CONNECTIONS = 32;
  private static final int UNKNOWN_DESCRIPTORS = 1_024;
  private static final long MIN_DESCRIPTORS = 256;
  private static final long MAX_DESCRIPTORS = 10_000_000;

  private ClientSettings() {}

  static ConnectionLimits read(StrictObject root) {
    try (StrictObject clients = root.object("clients")) {
      long heap = Runtime.getRuntime().maxMemory() / CONNECTIONS_PART;
      long descriptors =
          clients.has("descriptors")
              ? clients.number("descriptors", MIN_DESCRIPTORS, MAX_DESCRIPTORS)
              : processDescriptors();
      long sockets = (descriptors - FILE_DESCRIPTORS) / CALLERS_PART;
      long connections = Math.max(MIN_CONNECTIONS, Math.min(sockets, heap / CONNECTION_BYTES));
      return new ConnectionLimits(
          (int)
              clients.number(
                  "maxConnections", MIN_CONNECTIONS, descriptors - FILE_DESCRIPTORS, connections),
          (int) clients.number("maxCheckConnections", 1, MAX_CONNECTIONS, CHECK_CONNECTIONS),
          (int) clients.number("maxPeerConnections", 1, MAX_CONNECTIONS, PEER_CONNECTIONS),
          (int) clients.number("maxLingering", 1, MAX_CONNECTIONS, LINGERING_CONNECTIONS),
          bytes(clients, "maxUnfinishedKib"),
          bytes(clients, "maxOpenKib"),
          bytes(clients, "maxPeerKib"));
    }
  }

  private static long bytes(StrictObject clients, String key) {
    return HeapPart.bytes(clients, key, POOL_PART, MIN_POOL_KIB);
  }

  private static long processDescriptors() {
    OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
    return system instanceof UnixOperatingSystemMXBean unix
        ? Math.min(unix.getMaxFileDescriptorCount(), MAX_DESCRIPTORS)
        : UNKNOWN_DESCRIPTORS;
  }
}
