package org.marjoramhoist.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.Faults;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.model.HostRef;

/**
 * The outgoing connection to one address; it is made again whenever it breaks or goes silent.
 *
 * <p>The other side sends a sign of life every second on the same connection, so that one which has
 * gone silent is found and replaced. Messages are sent in order; what is queued when a connection
 * breaks is dropped. Safe for use by several threads; one thread of its own does the I/O.
 */
final class Link implements AutoCloseable, Runnable {

  static final int SIGN_OF_LIFE = 1;
  static final int SIGN_INTERVAL_MS = 1_000;
  private static final int SILENCE_MS = 4_000;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int QUEUE_LENGTH = 16_384;
  private static final int BUFFER_BYTES = 64 * 1024;
  private static final long MIN_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 2_000;
  private static final long POLL_MS = 500;

  private final String address;
  private final Hello self;
  private final PeerEvents events;
  private final SocketMaker sockets;
  private final BlockingQueue<PeerMessage> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
  private volatile HostRef host;
  private volatile boolean closed;
  private volatile Socket socket;

  Link(String address, Hello self, PeerEvents events, SocketMaker sockets) {
    this.address = address;
    this.self = self;
    this.events = events;
    this.sockets = sockets;
  }

  /** Returns the host at the other end; null while there is no connection. */
  HostRef host() {
    return host;
  }

  /** Queues a message; returns whether there was room. */
  boolean offer(PeerMessage message) {
    return queue.offer(message);
  }

  @Override
  public void run() {
    long backoff = MIN_BACKOFF_MS;
    while (!closed) {
      boolean connected = false;
      try (Socket made = connect()) {
        socket = made;
        connected = talk(made);
      } catch (IOException e) {
        connected = host != null;
        if (connected) {
          EventLog.warn(LogEvent.PEER_LINK_LOST, "host={} reason={}", host, e.getMessage());
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        closed = true;
      } catch (RuntimeException | Error e) {
        Faults.report("link to " + address, e);
      }
      lost();
      backoff = connected ? MIN_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, backoff * 2);
      pause(backoff);
    }
  }

  private Socket connect() throws IOException {
    Socket made = sockets.client();
    made.setTcpNoDelay(true);
    made.connect(HostPort.parse(address), CONNECT_TIMEOUT_MS);
    made.setSoTimeout(SILENCE_MS);
    return made;
  }

  private boolean talk(Socket made) throws IOException, InterruptedException {
    DataInputStream in = new DataInputStream(new BufferedInputStream(made.getInputStream()));
    DataOutputStream out =
        new DataOutputStream(new BufferedOutputStream(made.getOutputStream(), BUFFER_BYTES));
    FrameCodec.write(out, FrameCodec.encode(self));
    out.flush();
    HelloReply reply = FrameCodec.decode(FrameCodec.read(in), HelloReply.class);
    if (!reply.refusal().isEmpty()) {
      EventLog.warn(LogEvent.PEER_REFUSED, "address={} reason={}", address, reply.refusal());
      return false;
    }
    if (reply.hello().host().host().equals(self.host().host())) {
      closed = true;
      return false;
    }
    queue.clear();
    host = reply.hello().host();
    events.linkUp(host, address, reply.hello().domain());
    Thread watcher = watchSilence(made, in);
    try {
      send(made, out);
    } finally {
      watcher.interrupt();
    }
    return true;
  }

  /** Closes the connection when the other side has given no sign of life for too long. */
  private Thread watchSilence(Socket made, DataInputStream in) {
    Thread watcher =
        new Thread(
            () -> {
              try {
                while (in.read() == SIGN_OF_LIFE) {
                  Thread.onSpinWait();
                }
              } catch (IOException e) {
                EventLog.debug(LogEvent.PEER_LINK_LOST, "address={} silent", address);
              }
              closeQuietly(made);
            },
            "peer-life-" + address);
    watcher.setDaemon(true);
    watcher.start();
    return watcher;
  }

  private void send(Socket made, DataOutputStream out) throws IOException, InterruptedException {
    while (!closed && !made.isClosed()) {
      PeerMessage message = queue.poll(POLL_MS, TimeUnit.MILLISECONDS);
      while (message != null) {
        FrameCodec.write(out, FrameCodec.encode(message));
        message = queue.poll();
      }
      out.flush();
    }
  }

  private void lost() {
    HostRef before = host;
    host = null;
    queue.clear();
    if (before != null) {
      events.linkLost(before.host());
    }
  }

  private void pause(long millis) {
    try {
      if (!closed) {
        Thread.sleep(millis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      closed = true;
    }
  }

  private static void closeQuietly(Socket made) {
    try {
      made.close();
    } catch (IOException e) {
      EventLog.debug(LogEvent.PEER_LINK_LOST, "close failed: {}", e.getMessage());
    }
  }

  @Override
  public void close() {
    closed = true;
    Socket open = socket;
    if (open != null) {
      closeQuietly(open);
    }
  }
}
