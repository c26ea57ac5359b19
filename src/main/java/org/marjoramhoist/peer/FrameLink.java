package org.marjoramhoist.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.Faults;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * A connection between hosts that carries frames both ways without blocking.
 *
 * <p>Messages that are sent within one turn of the I/O thread leave in one write. Confined to the
 * connection's I/O thread, on which its listener is called too.
 */
public final class FrameLink implements AutoCloseable {

  /** Hears what happens on a link. */
  public interface Listener {
    /** A message arrived. */
    void received(FrameLink link, HostMessage message);

    /** The link is closed; called once. */
    void closed(FrameLink link);
  }

  private static final int READ_BYTES = 4 * 1024;

  /** Up to that size the buffer for what is received grows at once. */
  private static final int SMALL_FRAME_BYTES = 64 * 1024;

  private static final int MAX_QUEUED_BYTES = 8 << 20;

  /** The port in the ID of a link whose connection was closed before the link was created. */
  private static final int UNKNOWN_PORT = 0;

  private final StreamConnection connection;
  private final String id;
  private final Listener listener;
  private final LinkGuard guard;
  private final Deque<ByteBuffer> queue = new ArrayDeque<>();
  private ByteBuffer inbound = ByteBuffer.allocate(READ_BYTES);
  private int queuedBytes;
  private boolean flushScheduled;
  private boolean closed;

  /**
   * Starts to use a connection; to be called on its I/O thread.
   *
   * @param connection the connection
   * @param listener hears of messages and the end
   */
  public FrameLink(StreamConnection connection, Listener listener) {
    this(connection, listener, LinkGuard.NONE);
  }

  FrameLink(StreamConnection connection, Listener listener, LinkGuard guard) {
    this.guard = guard;
    this.connection = connection;
    this.id = idOf(connection);
    this.listener = listener;
  }

  private static String idOf(StreamConnection connection) {
    int local = portOf(connection.getLocalAddress(InetSocketAddress.class));
    int peer = portOf(connection.getPeerAddress(InetSocketAddress.class));
    return Math.min(local, peer) + "-" + Math.max(local, peer);
  }

  private static int portOf(InetSocketAddress address) {
    return address == null ? UNKNOWN_PORT : address.getPort();
  }

  /**
   * Returns an ID for logs: the connection's two ports, the lower one first, so that both ends log
   * the same ID unless something between them maps ports.
   */
  public String id() {
    return id;
  }

  /** Starts to read. */
  public void start() {
    connection.getSourceChannel().setReadListener(channel -> read());
    connection.getSinkChannel().setWriteListener(channel -> flush());
    connection.setCloseListener(channel -> close());
    connection.getSourceChannel().resumeReads();
  }

  /** Sends a message, unless the link is closed. */
  public void send(HostMessage message) {
    if (closed) {
      return;
    }
    try {
      byte[] frame = FrameCodec.encode(message);
      ByteBuffer buffer = ByteBuffer.allocate(Integer.BYTES + frame.length);
      buffer.putInt(frame.length).put(frame).flip();
      queue.add(buffer);
      queuedBytes += buffer.remaining();
    } catch (IOException e) {
      EventLog.fault("frame of " + message.getClass().getSimpleName(), e);
      return;
    }
    if (!hold()) {
      close();
    } else if (queuedBytes > MAX_QUEUED_BYTES) {
      EventLog.warn(LogEvent.PEER_QUEUE_FULL, "bytes={}", queuedBytes);
      close();
    } else if (!flushScheduled) {
      flushScheduled = true;
      connection.getIoThread().execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    if (closed) {
      return;
    }
    try {
      while (!queue.isEmpty()) {
        ByteBuffer[] all = queue.toArray(new ByteBuffer[0]);
        long written = connection.getSinkChannel().write(all, 0, all.length);
        queuedBytes -= (int) written;
        while (!queue.isEmpty() && !queue.peek().hasRemaining()) {
          queue.poll();
        }
        if (written == 0) {
          connection.getSinkChannel().resumeWrites();
          return;
        }
      }
      connection.getSinkChannel().flush();
      connection.getSinkChannel().suspendWrites();
    } catch (IOException e) {
      EventLog.debug(LogEvent.PEER_LINK_LOST, "write failed: {}", e.getMessage());
      close();
    }
  }

  private void read() {
    try {
      while (!closed) {
        int count = connection.getSourceChannel().read(inbound);
        if (count < 0) {
          close();
          return;
        }
        if (count == 0) {
          return;
        }
        takeFrames();
      }
    } catch (IOException e) {
      EventLog.debug(LogEvent.PEER_LINK_LOST, "read failed: {}", e.getMessage());
      close();
    }
  }

  private void takeFrames() throws IOException {
    inbound.flip();
    int wanted = READ_BYTES;
    while (!closed && inbound.remaining() >= Integer.BYTES) {
      int length = inbound.getInt(inbound.position());
      if (length < 1 || length > guard.maxFrameBytes()) {
        throw new IOException("frame length out of bounds: " + length);
      }
      if (inbound.remaining() < Integer.BYTES + length) {
        wanted = Integer.BYTES + length;
        break;
      }
      inbound.getInt();
      byte[] frame = new byte[length];
      inbound.get(frame);
      HostMessage message = FrameCodec.decode(frame, HostMessage.class);
      guard.messageReceived();
      deliver(message);
    }
    makeRoom(wanted);
  }

  /**
   * Makes room for a frame, of which the announced length is not believed: the buffer grows as the
   * frame arrives.
   */
  private void makeRoom(int wanted) {
    int capacity = inbound.capacity();
    boolean isFull = inbound.remaining() == capacity;
    if (wanted > capacity && (isFull || capacity < SMALL_FRAME_BYTES)) {
      int larger = Math.max(SMALL_FRAME_BYTES, 2 * capacity);
      inbound = ByteBuffer.allocate(Math.min(wanted, larger)).put(inbound);
    } else if (wanted == READ_BYTES && capacity > SMALL_FRAME_BYTES) {
      inbound = ByteBuffer.allocate(Math.max(READ_BYTES, inbound.remaining())).put(inbound);
    } else {
      inbound.compact();
    }
    if (!closed && !hold()) {
      close();
    }
  }

  private boolean hold() {
    return guard.hold((long) inbound.capacity() + queuedBytes);
  }

  /** A message that can't be dealt with takes neither the link nor the process with it. */
  private void deliver(HostMessage message) {
    Faults.contain(
        "message " + message.getClass().getSimpleName(), () -> listener.received(this, message));
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      queue.clear();
      guard.closed();
      IoUtils.safeClose(connection);
      listener.closed(this);
    }
  }
}
