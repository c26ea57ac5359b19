package org.marjoramhoist.http;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;

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

  @Override
  public void close() {
    server.stop();
  }
}
