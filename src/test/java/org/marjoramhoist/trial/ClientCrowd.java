package org.marjoramhoist.trial;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramhoist.http.HostPort;

/**
 * Clients that each do the same on a connection of their own, and connect again when the host has
 * closed it, until the crowd is closed or its time is up.
 *
 * <p>Invariant: no more connections are open at once than there are clients, and each client
 * connects a bounded number of times. Each client has a thread; the crowd's own methods are to be
 * called by one thread.
 */
final class ClientCrowd implements AutoCloseable {

  /** What a client does on a connection; it returns when it has nothing more to do on it. */
  interface Behavior {
    void use(Socket socket, OutputStream out) throws IOException;
  }

  private static final int MAX_CONNECTIONS_OF_CLIENT = 2_000;
  private static final int READ_TIMEOUT_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 20;
  private static final long LONGEST_MILLIS = 60_000;

  private final String address;
  private final Behavior behavior;
  private final long endBy = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_MILLIS);
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger connected = new AtomicInteger();
  private final List<Socket> open = new ArrayList<>();
  private volatile boolean closed;

  /**
   * Starts the clients.
   *
   * @param address {@code IP:port} of the listener
   * @param count the number of clients
   * @param behavior what each does
   */
  ClientCrowd(String address, int count, Behavior behavior) {
    this.address = address;
    this.behavior = behavior;
    for (int i = 0; i < count; i++) {
      Thread thread = new Thread(null, this::runClient, "client-" + i, 128 * 1_024);
      thread.setDaemon(true);
      threads.add(thread);
    }
    threads.forEach(Thread::start);
  }

  /** Returns how many connections the clients have made. */
  int connectionsMade() {
    return connected.get();
  }

  private void runClient() {
    for (int i = 0; i < MAX_CONNECTIONS_OF_CLIENT && isGoingOn(); i++) {
      try (Socket socket = connect()) {
        behavior.use(socket, socket.getOutputStream());
      } catch (IOException e) {
        pause();
      }
    }
  }

  private boolean isGoingOn() {
    return !closed && System.nanoTime() < endBy;
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    synchronized (open) {
      if (closed) {
        throw new IOException("the crowd is closed");
      }
      open.removeIf(Socket::isClosed);
      open.add(socket);
    }
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    socket.connect(HostPort.parse(address), READ_TIMEOUT_MILLIS);
    connected.incrementAndGet();
    return socket;
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Closes all connections and waits for the clients. */
  @Override
  public void close() throws IOException, InterruptedException {
    closed = true;
    synchronized (open) {
      for (Socket socket : open) {
        socket.close();
      }
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }
}
