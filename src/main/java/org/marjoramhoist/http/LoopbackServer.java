package org.marjoramhoist.http;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * A small HTTP server on one address.
 *
 * <p>Safe for use by several threads.
 */
public final class LoopbackServer implements AutoCloseable {

  private static final int IO_THREADS = 2;

  private final Undertow server;
  private final String address;

  /**
   * Starts a server.
   *
   * @param address {@code host:port}; port 0 takes any free one
   * @param handler answers on I/O threads
   */
  public LoopbackServer(String address, HttpHandler handler) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    server =
        Undertow.builder()
            .addHttpListener(Integer.parseInt(address.substring(colon + 1)), host)
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(1)
            .setHandler(handler)
            .build();
    server.start();
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    this.address = host + ":" + bound.getPort();
  }

  /** Returns {@code host:port} of the listener. */
  public String address() {
    return address;
  }

  /**
   * Returns loopback ports that are free at present.
   *
   * @throws IOException if there are not so many
   */
  public static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> held = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      held.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : held) {
      socket.close();
    }
    return ports;
  }

  @Override
  public void close() {
    server.stop();
  }
}
