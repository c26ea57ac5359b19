package org.marjoramhoist.listener;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.connection.ConnectionGroup;
import org.marjoramhoist.http.Listening;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * An HTTP listener whose connections are bounded with those of the other listeners, and outlive the
 * listening socket.
 *
 * <p>A connection keeps the handler that was set when it was accepted. A handler sees whole
 * requests only. To be used on the worker's only I/O thread, except for the constructor and {@link
 * #close}.
 */
public final class HttpListener implements AutoCloseable {

  private static final int BUFFER_BYTES = 8 * 1_024;
  private static final int MAX_POOLED_BUFFERS = 64;
  private static final int THREAD_CACHED_BUFFERS = 4;
  private static final int ACCEPT_BACKLOG = 1_000;
  private static final int ACCEPT_BURST = 64;
  private static final long ACCEPT_RETRY_MILLIS = 100;

  private final Connections connections;
  private final ConnectionGroup group;
  private final HeadForm form;
  private final HttpOpenListener server;
  private final AcceptingChannel<StreamConnection> socket;
  private final Set<RequestConduit> open = new HashSet<>();
  private HttpHandler cutHandler = exchange -> exchange.endExchange();
  private volatile boolean closed;

  /**
   * Starts to listen.
   *
   * @param worker its only I/O thread is used
   * @param connections bounds the connections
   * @param group which of the bounds holds
   * @param form what the handler uses of a request's head
   * @param address where to listen
   * @param handler handles requests on the I/O thread
   * @throws IOException if the address can't be bound
   */
  public HttpListener(
      XnioWorker worker,
      Connections connections,
      ConnectionGroup group,
      HeadForm form,
      InetSocketAddress address,
      HttpHandler handler)
      throws IOException {
    this.connections = connections;
    this.group = group;
    this.form = form;
    ByteBufferPool buffers =
        new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, THREAD_CACHED_BUFFERS);
    server =
        new HttpOpenListener(
            buffers,
            OptionMap.builder()
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .getMap());
    server.setRootHandler(tracking(handler));
    int highWater = connections.maxCount(group) + ACCEPT_BURST;
    OptionMap options =
        OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, ACCEPT_BACKLOG)
            .set(Options.CONNECTION_HIGH_WATER, highWater)
            .set(Options.CONNECTION_LOW_WATER, highWater - 1)
            .getMap();
    socket =
        Listening.at(
            address, () -> worker.createStreamConnectionServer(address, this::acceptNext, options));
    socket.resumeAccepts();
  }

  private HttpHandler tracking(HttpHandler handler) {
    return exchange -> {
      RequestConduit conduit = conduitOf(exchange).orElseThrow();
      conduit.exchangeStarted(exchange);
      exchange.addExchangeCompleteListener(
          (completed, nextListener) -> {
            conduit.exchangeCompleted();
            nextListener.proceed();
          });
      (conduit.isCut() ? cutHandler : handler).handleRequest(exchange);
    };
  }

  private static Optional<RequestConduit> conduitOf(HttpServerExchange exchange) {
    return exchange.getConnection() instanceof HttpServerConnection connection
            && connection.getOriginalSourceConduit() instanceof RequestConduit conduit
        ? Optional.of(conduit)
        : Optional.empty();
  }

  /**
   * Reads a little of what a client sends while it waits for a response.
   *
   * @return whether the client has ended its side of the connection
   */
  public static boolean hasLeft(HttpServerExchange exchange) {
    return conduitOf(exchange).map(RequestConduit::readAhead).orElse(false);
  }

  /** Sets the handler of the connections that are accepted from now on. */
  public void handleNewConnectionsWith(HttpHandler handler) {
    server.setRootHandler(tracking(handler));
  }

  /** Accepts connections that wait, no more than the socket may hold, and closes the socket. */
  public void stopAccepting() {
    socket.suspendAccepts();
    int left = ACCEPT_BACKLOG;
    while (left > 0 && acceptNext(socket)) {
      left--;
    }
    IoUtils.safeClose(socket);
  }

  /**
   * Accepts a connection that waits and returns whether there was one. Connections that another
   * thread queued before the socket was closed must be accepted too: as long as any waits, the I/O
   * thread calls again, without running anything that is scheduled.
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
        add(accepted);
      }
      return true;
    } catch (ClosedChannelException e) {
      return false;
    } catch (IOException e) {
      pauseAccepting();
      return false;
    }
  }

  private void add(StreamConnection accepted) {
    RequestConduit conduit = new RequestConduit(connections.nextId(), accepted, connections, form);
    if (!connections.add(conduit.id(), group, conduit)) {
      return;
    }
    open.add(conduit);
    accepted.getSourceChannel().setConduit(conduit);
    server.handleEvent(accepted);
    ChannelListener<? super StreamConnection> next = accepted.getCloseListener();
    accepted.setCloseListener(
        channel -> {
          remove(conduit);
          if (next != null) {
            next.handleEvent(channel);
          }
        });
    if (!accepted.isOpen()) {
      remove(conduit);
    }
  }

  private void remove(RequestConduit conduit) {
    open.remove(conduit);
    connections.remove(conduit.id());
  }

  /** Leaves the processor to others while no connection can be accepted. */
  private void pauseAccepting() {
    EventLog.warn(LogEvent.ACCEPT_FAILED, "group={} open={}", group, open.size());
    connections.acceptFailed(group);
    socket.suspendAccepts();
    socket
        .getIoThread()
        .executeAfter(this::resumeAccepting, ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void resumeAccepting() {
    if (!closed && socket.isOpen()) {
      socket.resumeAccepts();
    }
  }

  /** Returns the number of requests whose body is not complete. */
  public int halfReadCount() {
    return (int) open.stream().filter(RequestConduit::isHalfRead).count();
  }

  /**
   * Gives up the requests whose body is not complete.
   *
   * @param handler responds to them; it sees their heads only
   */
  public void endHalfRead(HttpHandler handler) {
    cutHandler = handler;
    List.copyOf(open).stream()
        .filter(RequestConduit::isHalfRead)
        .forEach(RequestConduit::passOnWithoutBody);
  }

  /** Closes all connections before anything more is read from them, and those accepted later. */
  public void closeConnections() {
    closed = true;
    server.closeConnections();
  }

  @Override
  public void close() {
    IoUtils.safeClose(socket);
    closeConnections();
  }
}
