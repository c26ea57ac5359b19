package org.marjoramhoist.entry;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import org.marjoramhoist.log.EventLog;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The HTTP listener for callers, whose connections outlive the listening socket.
 *
 * <p>A connection keeps the handler that was set when it was accepted. To be used on the worker's
 * only I/O thread, except for the constructor and {@link #close}.
 */
final class CallerListener implements AutoCloseable {

  static final int BUFFER_BYTES = 8 * 1024;
  private static final int MAX_REQUEST_BODY_BYTES = 1 << 20;
  private static final int ACCEPT_BACKLOG = 1_000;

  private final HttpOpenListener connections;
  private final AcceptingChannel<StreamConnection> socket;
  private volatile boolean closed;

  /**
   * Starts to listen.
   *
   * @throws IOException if the address can't be bound
   */
  CallerListener(XnioWorker worker, InetSocketAddress address, HttpHandler handler)
      throws IOException {
    ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    connections =
        new HttpOpenListener(
            buffers,
            OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_REQUEST_BODY_BYTES)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .getMap());
    connections.setRootHandler(handler);
    socket =
        worker.createStreamConnectionServer(
            address,
            this::acceptNext,
            OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, ACCEPT_BACKLOG)
                .getMap());
    socket.resumeAccepts();
  }

  /** Sets the handler of the connections that are accepted from now on. */
  void handleNewConnectionsWith(HttpHandler handler) {
    connections.setRootHandler(handler);
  }

  /** Accepts connections that wait, no more than the socket may hold, and closes the socket. */
  void stopAccepting() {
    socket.suspendAccepts();
    int left = ACCEPT_BACKLOG;
    while (left > 0 && acceptNext(socket)) {
      left--;
    }
    IoUtils.safeClose(socket);
  }

  /**
   * Takes a connection that waits, also after the socket was closed, as the I/O thread would call
   * this again and again otherwise. Returns whether there was one.
   */
  private boolean acceptNext(AcceptingChannel<StreamConnection> channel) {
    try {
      StreamConnection accepted = channel.accept();
      if (accepted == null) {
        return false;
      }
      if (closed) {
        IoUtils.safeClose(accepted);
      } else {
        connections.handleEvent(accepted);
      }
      return true;
    } catch (ClosedChannelException e) {
      return false;
    } catch (IOException e) {
      EventLog.fault("listener", e);
      return false;
    }
  }

  /** Closes all connections before anything more is read from them, and those that still wait. */
  void closeConnections() {
    closed = true;
    connections.closeConnections();
  }

  @Override
  public void close() {
    IoUtils.safeClose(socket);
    closeConnections();
  }
}
