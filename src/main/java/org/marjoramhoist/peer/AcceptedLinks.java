package org.marjoramhoist.peer;

import org.marjoramhoist.connection.CloseCause;
import org.marjoramhoist.connection.ConnectionGroup;
import org.marjoramhoist.connection.ConnectionId;
import org.marjoramhoist.connection.ConnectionPhase;
import org.marjoramhoist.connection.MemoryPool;
import org.marjoramhoist.listener.Connections;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Guards of the links that were opened to this host, by whomever.
 *
 * <p>Confined to the I/O thread.
 */
final class AcceptedLinks {

  /** The longest first frame: until it is read, the other side may be anybody. */
  private static final int MAX_FIRST_FRAME_BYTES = 64 * 1_024;

  private final Connections connections;

  AcceptedLinks(Connections connections) {
    this.connections = connections;
  }

  /** Returns the guard of a connection, which is closed if there is no place for it. */
  LinkGuard guard(StreamConnection connection) {
    Guard guard = new Guard(connections.nextId(), connection);
    connections.add(guard.id, ConnectionGroup.PEERS, guard);
    return guard;
  }

  private final class Guard implements LinkGuard, Connections.Client {
    private final ConnectionId id;
    private final StreamConnection connection;
    private boolean isKnown;

    private Guard(ConnectionId id, StreamConnection connection) {
      this.id = id;
      this.connection = connection;
    }

    @Override
    public boolean hold(long bytes) {
      return connections.hold(id, MemoryPool.PEERS, bytes);
    }

    @Override
    public void messageReceived() {
      if (!isKnown) {
        isKnown = true;
        connections.waits(id, ConnectionPhase.EXCHANGE);
      }
    }

    @Override
    public int maxFrameBytes() {
      return isKnown ? FrameCodec.MAX_FRAME_BYTES : MAX_FIRST_FRAME_BYTES;
    }

    @Override
    public void closed() {
      connections.remove(id);
    }

    @Override
    public void close(CloseCause cause) {
      IoUtils.safeClose(connection);
    }
  }
}
