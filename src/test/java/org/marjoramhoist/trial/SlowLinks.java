package org.marjoramhoist.trial;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.supervise.DaemonTimer;

/**
 * Proxies on loopback that forward connections with a delay, and reset them on request.
 *
 * <p>Invariants: bytes leave a connection in the order in which they entered it, each as much later
 * as any other, however many there are; bytes that are delayed when their connection is reset are
 * dropped. Safe for use by several threads.
 */
final class SlowLinks implements AutoCloseable {

  private static final int BACKLOG = 64;
  private static final int BUFFER_BYTES = 16_384;

  private final int delayMillis;
  private final InetAddress loopback = InetAddress.getLoopbackAddress();
  private final Deque<ServerSocket> unused = new ArrayDeque<>();
  private final Map<String, Proxy> proxies = new HashMap<>();

  /**
   * Creates links. Their ports are bound at once, so that no one else chooses them.
   *
   * @param count how many addresses can be routed
   * @param delayMillis the delay in each direction
   * @throws IOException if no port is free
   */
  SlowLinks(int count, int delayMillis) throws IOException {
    this.delayMillis = delayMillis;
    while (unused.size() < count) {
      unused.add(new ServerSocket(0, BACKLOG, loopback));
    }
  }

  /** Returns the address of a proxy that forwards connections to an address. */
  synchronized String route(String address) {
    Proxy proxy = new Proxy(unused.remove(), address);
    proxies.put(address, proxy);
    start("accept " + address, proxy::accept);
    return loopback.getHostAddress() + ":" + proxy.server.getLocalPort();
  }

  /**
   * Gives what a target sends a longer delay on connections that are opened after each other reset,
   * so that a message takes longer than an earlier one on the connection before.
   */
  synchronized void setLongDelay(String address, int longMillis) {
    proxies.get(address).setLongDelay(longMillis);
  }

  /** Resets the open connections to an address and returns how many there were. */
  synchronized int reset(String address) {
    return proxies.get(address).resetAll();
  }

  private static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private static void resetSocket(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The socket is closed already, and closing it again does nothing.
    }
    closeSocket(socket);
  }

  private static void closeSocket(Closeable socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Accepts the connections to one address. */
  private final class Proxy {
    private final ServerSocket server;
    private final String target;
    private final Set<Connection> connections = new HashSet<>();
    private int backMillis = delayMillis;
    private int nextBackMillis = delayMillis;
    private boolean closed;

    Proxy(ServerSocket server, String target) {
      this.server = server;
      this.target = target;
    }

    void accept() {
      while (!server.isClosed()) {
        try {
          forward(server.accept());
        } catch (IOException e) {
          // The proxy was closed; the loop ends.
        }
      }
    }

    private void forward(Socket near) {
      Socket far = new Socket();
      try {
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        far.connect(HostPort.parse(target));
      } catch (IOException e) {
        resetSocket(near);
        closeSocket(far);
        return;
      }
      add(near, far);
    }

    synchronized void setLongDelay(int longMillis) {
      nextBackMillis = longMillis;
    }

    private synchronized void add(Socket near, Socket far) {
      Connection connection = new Connection(near, far, backMillis);
      if (closed) {
        connection.reset();
        return;
      }
      connections.removeIf(each -> !each.isOpen());
      connections.add(connection);
      connection.start();
    }

    synchronized int resetAll() {
      int lastMillis = backMillis;
      backMillis = nextBackMillis;
      nextBackMillis = lastMillis;
      connections.removeIf(each -> !each.isOpen());
      connections.forEach(Connection::reset);
      return connections.size();
    }

    synchronized void close() {
      closed = true;
      resetAll();
      closeSocket(server);
    }
  }

  /** A connection and its continuation to the target. */
  private final class Connection {
    private final Socket near;
    private final Socket far;
    private final int backMillis;
    private final ScheduledExecutorService toFar = DaemonTimer.create("slow-link");
    private final ScheduledExecutorService toNear = DaemonTimer.create("slow-link");
    private final AtomicInteger openDirections = new AtomicInteger(2);

    Connection(Socket near, Socket far, int backMillis) {
      this.near = near;
      this.far = far;
      this.backMillis = backMillis;
    }

    void start() {
      SlowLinks.start("slow-link-reader", () -> forward(near, far, toFar, delayMillis));
      SlowLinks.start("slow-link-reader", () -> forward(far, near, toNear, backMillis));
    }

    private void forward(Socket from, Socket to, ScheduledExecutorService writer, int millis) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        int count = from.getInputStream().read(buffer);
        while (count >= 0) {
          byte[] bytes = Arrays.copyOf(buffer, count);
          later(writer, millis, () -> to.getOutputStream().write(bytes));
          count = from.getInputStream().read(buffer);
        }
        later(writer, millis, () -> endDirection(to));
      } catch (IOException | RejectedExecutionException e) {
        reset();
      }
    }

    private void later(ScheduledExecutorService writer, int millis, Write write) {
      writer.schedule(() -> writeOrReset(write), millis, TimeUnit.MILLISECONDS);
    }

    private void writeOrReset(Write write) {
      try {
        write.run();
      } catch (IOException e) {
        reset();
      }
    }

    private void endDirection(Socket to) throws IOException {
      to.shutdownOutput();
      if (openDirections.decrementAndGet() == 0) {
        reset();
      }
    }

    /** Resets both ends and drops the delayed bytes. */
    void reset() {
      toFar.shutdownNow();
      toNear.shutdownNow();
      resetSocket(near);
      resetSocket(far);
    }

    boolean isOpen() {
      return !near.isClosed();
    }
  }

  @FunctionalInterface
  private interface Write {
    void run() throws IOException;
  }

  @Override
  public synchronized void close() {
    proxies.values().forEach(Proxy::close);
    unused.forEach(SlowLinks::closeSocket);
  }
}
