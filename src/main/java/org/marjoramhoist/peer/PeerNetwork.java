package org.marjoramhoist.peer;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.Listening;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.Faults;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;

/**
 * The connections of this host to and from the others.
 *
 * <p>Each host dials every other; a connection carries messages one way. A broken frame closes its
 * connection alone. Safe for use by several threads.
 */
public final class PeerNetwork implements AutoCloseable {

  private static final int BACKLOG = 64;
  private static final int SILENCE_MS = 5_000;
  private static final int MAX_INCOMING = 512;

  private final Hello self;
  private final PeerEvents events;
  private final SocketMaker sockets;
  private final ServerSocket listener;
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final Set<Socket> incoming = ConcurrentHashMap.newKeySet();
  private final AtomicLong dropped = new AtomicLong();
  private volatile boolean closed;

  /**
   * Binds the listener.
   *
   * @param self what this host says of itself
   * @param events hears of connections and messages
   * @param sockets makes the sockets
   * @throws IOException if the address can't be bound
   */
  public PeerNetwork(Hello self, PeerEvents events, SocketMaker sockets) throws IOException {
    this.self = self;
    this.events = events;
    this.sockets = sockets;
    this.listener = sockets.server();
    listener.setReuseAddress(true);
    InetSocketAddress address = HostPort.parse(self.address());
    Listening.at(
        address,
        () -> {
          listener.bind(address, BACKLOG);
          return listener;
        });
    start(this::accept, "peer-accept");
  }

  /** Keeps a connection to the address from now on; does nothing if there is one. */
  public void dial(String address) {
    if (address.equals(self.address()) || closed) {
      return;
    }
    links.computeIfAbsent(
        address,
        key -> {
          Link link = new Link(key, self, events, sockets);
          start(link, "peer-" + key);
          return link;
        });
  }

  /** Sends a message to a host; it is dropped if there is no connection or its queue is full. */
  public void send(HostId to, PeerMessage message) {
    for (Link link : links.values()) {
      HostRef host = link.host();
      if (host != null && host.host().equals(to)) {
        if (!link.offer(message)) {
          dropped.incrementAndGet();
          EventLog.warn(LogEvent.PEER_QUEUE_FULL, "host={}", to);
          events.linkLost(to);
        }
        return;
      }
    }
    dropped.incrementAndGet();
    events.linkLost(to);
  }

  /** Returns how many messages were dropped. */
  public long droppedCount() {
    return dropped.get();
  }

  /** Returns the addresses that are dialled. */
  public Collection<String> dialled() {
    return links.keySet();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        if (incoming.size() >= MAX_INCOMING) {
          socket.close();
        } else {
          incoming.add(socket);
          start(() -> serve(socket), "peer-in-" + socket.getPort());
        }
      } catch (IOException e) {
        if (!closed) {
          EventLog.warn(LogEvent.PEER_LINK_LOST, "accept failed: {}", e.getMessage());
        }
      } catch (RuntimeException | Error e) {
        Faults.report("accept", e);
      }
    }
  }

  private void serve(Socket socket) {
    String who = String.valueOf(socket.getRemoteSocketAddress());
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(SILENCE_MS);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      Hello hello = FrameCodec.decode(FrameCodec.read(in), Hello.class);
      String refusal = self.incompatibilityWith(hello);
      FrameCodec.write(out, FrameCodec.encode(new HelloReply(self, refusal)));
      if (!refusal.isEmpty()) {
        EventLog.warn(LogEvent.PEER_REFUSED, "host={} reason={}", hello.host(), refusal);
        return;
      }
      boolean isSelf = hello.host().host().equals(self.host().host());
      if (isSelf) {
        return;
      }
      who = hello.host().toString();
      dial(hello.address());
      start(() -> giveSigns(socket, out), "peer-signs-" + who);
      receive(hello.host(), in);
    } catch (IOException e) {
      if (!closed) {
        EventLog.debug(LogEvent.PEER_BAD_FRAME, "from={} reason={}", who, e.getMessage());
      }
    } finally {
      incoming.remove(socket);
    }
  }

  private void receive(HostRef from, DataInputStream in) throws IOException {
    while (!closed) {
      byte[] frame = FrameCodec.read(in);
      events.received(from, FrameCodec.decode(frame, PeerMessage.class));
    }
  }

  private void giveSigns(Socket socket, DataOutputStream out) {
    try {
      while (!closed && !socket.isClosed()) {
        out.write(Link.SIGN_OF_LIFE);
        Thread.sleep(Link.SIGN_INTERVAL_MS);
      }
    } catch (IOException e) {
      EventLog.debug(LogEvent.PEER_LINK_LOST, "signs ended: {}", e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void start(Runnable task, String name) {
    Thread thread = new Thread(() -> Faults.contain("thread " + name, task), name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() {
    closed = true;
    links.values().forEach(Link::close);
    try {
      listener.close();
    } catch (IOException e) {
      EventLog.debug(LogEvent.PEER_LINK_LOST, "close failed: {}", e.getMessage());
    }
    for (Socket socket : incoming) {
      try {
        socket.close();
      } catch (IOException e) {
        EventLog.debug(LogEvent.PEER_LINK_LOST, "close failed: {}", e.getMessage());
      }
    }
  }
}
