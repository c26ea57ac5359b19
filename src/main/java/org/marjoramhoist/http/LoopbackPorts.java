package org.marjoramhoist.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;

/**
 * Loopback ports for processes and servers that are started a little later.
 *
 * <p>A port that the system chooses by itself (for port 0, or as the near end of a connection) may
 * be taken again between the choice and its use, as the test opens other sockets meanwhile. The
 * ports of this class lie outside the system's range, and none is given out twice by one process
 * before all others were. Safe for use by several threads.
 */
public final class LoopbackPorts {

  /** The system's range, in Linux. */
  private static final Path RANGE_FILE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

  /** Where the system's range begins if it isn't known: the lowest of the usual systems. */
  private static final int DEFAULT_RANGE_START = 32_768;

  private static final int FIRST = 10_000;

  /** With fewer ports below the system's range, ports are taken from its lower part. */
  private static final int MIN_PORTS = 2_000;

  private static final LoopbackPorts SHARED = new LoopbackPorts(FIRST, systemRangeStart());

  private final int first;
  private final int end;
  private int next;

  private LoopbackPorts(int first, int end) {
    this.first = first;
    this.end = end;
    // Processes that begin together look in different places.
    next = first + new SecureRandom().nextInt(end - first);
  }

  private static int systemRangeStart() {
    try {
      String start = Files.readString(RANGE_FILE).strip().split("\\s+", 2)[0];
      int port = Integer.parseInt(start);
      return port >= FIRST + MIN_PORTS ? port : DEFAULT_RANGE_START;
    } catch (IOException | NumberFormatException e) {
      // Not Linux, or no such file.
      return DEFAULT_RANGE_START;
    }
  }

  /**
   * Returns loopback ports that are free at present.
   *
   * @throws IOException if there are not so many
   */
  public static List<Integer> free(int count) throws IOException {
    return SHARED.take(count);
  }

  private synchronized List<Integer> take(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int tries = 0; ports.size() < count && tries < end - first; tries++) {
      int port = next;
      next = port + 1 < end ? port + 1 : first;
      if (isFree(port)) {
        ports.add(port);
      }
    }
    if (ports.size() < count) {
      throw new IOException("no " + count + " free ports from " + first + " to " + (end - 1));
    }
    return ports;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
