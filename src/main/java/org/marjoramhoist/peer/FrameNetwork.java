package org.marjoramhoist.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.Listening;
import org.marjoramhoist.listener.Connections;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Accepts and opens {@link FrameLink}s on one I/O thread.
 *
 * <p>To be used on that thread, but for the constructor.
 */
public final class FrameNetwork implements AutoCloseable {

  private static final int BACKLOG = 128;
  private static final OptionMap OPTIONS =
      OptionMap.builder()
          .set(Options.TCP_NODELAY, true)
          .set(Options.REUSE_ADDRESSES, true)
          .set(Options.BACKLOG, BACKLOG)
          .getMap();

  private final XnioIoThread thread;
  private final AcceptingChannel<StreamConnection> server;

  /**
   * Starts to listen, with connections of its own.
   *
   * @param worker the worker whose only I/O thread is used
   * @param address where to listen
   * @param listener hears what happens on accepted links
   * @throws IOException if the address can't be used
   */
  public FrameNetwork(XnioWorker worker, InetSocketAddress address, FrameLink.Listener listener)
      throws IOException {
    this(worker, address, new Connections(), listener);
  }

  /**
   * Starts to listen.
   *
   * @param worker the worker whose only I/O thread is used
   * @param address where to listen
   * @param connections bounds what accepted links hold
   * @param listener hears what happens on accepted links
   * @throws IOException if the address can't be used
   */
  public FrameNetwork(
      XnioWorker worker,
      InetSocketAddress address,
      Connections connections,
      FrameLink.Listener listener)
      throws IOException {
    this.thread = worker.getIoThread();
    AcceptedLinks accepted = new AcceptedLinks(connections);
    ChannelListener<AcceptingChannel<StreamConnection>> accept =
        ChannelListeners.openListenerAdapter(
            connection ->
                connection
                    .getIoThread()
                    .execute(() -> begin(connection, listener, accepted.guard(connection))));
    this.server =
        Listening.at(address, () -> worker.createStreamConnectionServer(address, accept, OPTIONS));
    server.resumeAccepts();
  }

  private static FrameLink begin(
      StreamConnection connection, FrameLink.Listener listener, LinkGuard guard) {
    FrameLink link = new FrameLink(connection, listener, guard);
    link.start();
    return link;
  }

  /**
   * Opens a link.
   *
   * @param address {@code IP:port} of the other host; a link to any other text fails
   * @param timeoutMillis how long that may take, in milliseconds
   * @param listener hears what happens on the link
   * @param opened takes the link once it is open; called on the I/O thread
   * @param failed takes whether the other side refused at once; called on the I/O thread
   */
  public void open(
      String address,
      long timeoutMillis,
      FrameLink.Listener listener,
      Consumer<FrameLink> opened,
      Consumer<Boolean> failed) {
    InetSocketAddress to = HostPort.isIp(address) ? HostPort.parse(address) : null;
    if (to == null || to.isUnresolved()) {
      logFailure(address, "not an address");
      thread.execute(() -> failed.accept(false));
      return;
    }
    IoFuture<StreamConnection> future =
        thread.openStreamConnection(
            to, connection -> opened.accept(begin(connection, listener, LinkGuard.NONE)), OPTIONS);
    future.addNotifier(
        (done, nothing) -> {
          if (done.getStatus() != IoFuture.Status.DONE) {
            String reason =
                done.getStatus() == IoFuture.Status.FAILED
                    ? String.valueOf(done.getException().getMessage())
                    : "no connection in time";
            logFailure(address, reason);
            thread.execute(() -> failed.accept(reason.contains("refused")));
          }
        },
        null);
    thread.executeAfter(future::cancel, timeoutMillis, TimeUnit.MILLISECONDS);
  }

  private static void logFailure(String address, String reason) {
    EventLog.debug(LogEvent.PEER_LINK_LOST, "address={} reason={}", address, reason);
  }

  @Override
  public void close() {
    IoUtils.safeClose(server);
  }
}
