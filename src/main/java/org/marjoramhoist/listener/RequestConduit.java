package org.marjoramhoist.listener;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.marjoramhoist.connection.CloseCause;
import org.marjoramhoist.connection.ConnectionId;
import org.marjoramhoist.connection.ConnectionPhase;
import org.marjoramhoist.connection.MemoryPool;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The side of a connection from which the HTTP server reads: it passes on one whole request at a
 * time, and the next one only once the response to the last is written.
 *
 * <p>Invariants: no handler sees a request of which a byte is missing, so that nothing of a refused
 * request runs; what is held is counted by {@link Connections}. One read from the socket, and one
 * request, are dealt with in a turn of the I/O thread. Confined to that thread.
 */
final class RequestConduit extends AbstractStreamSourceConduit<StreamSourceConduit>
    implements Connections.Client {

  /** What is read ahead of a request's end, which is then kept for the next request. */
  private static final int READ_AHEAD_BYTES = 4_096;

  /** What is read of a refused client, so that it can read the refusal. */
  private static final int MAX_DISCARDED_BYTES = 1 << 18;

  private static final int HEAD_COST = 6;
  private static final int BODY_COST = 4;
  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] NOTHING = {};

  private final ConnectionId id;
  private final StreamConnection connection;
  private final StreamSinkConduit sink;
  private final Connections connections;
  private final HeadForm form;
  private ConnectionPhase phase = ConnectionPhase.NEW;
  private RequestReader reader;
  private byte[] ahead = NOTHING;
  private PassedRequest passedOn = PassedRequest.NONE;
  private HttpServerExchange exchange;
  private long bytesSent;
  private int discardedBytes;
  private boolean continued;
  private boolean ended;
  private boolean isCut;
  private long openBytes;

  RequestConduit(
      ConnectionId id, StreamConnection connection, Connections connections, HeadForm form) {
    super(connection.getSourceChannel().getConduit());
    this.id = id;
    this.connection = connection;
    this.sink = connection.getSinkChannel().getConduit();
    this.connections = connections;
    this.form = form;
  }

  ConnectionId id() {
    return id;
  }

  /** Returns whether a request's head was read whose body is not complete. */
  boolean isHalfRead() {
    return phase == ConnectionPhase.BODY;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    int passed = passOn(target);
    if (passed > 0 || phase == ConnectionPhase.EXCHANGE || phase == ConnectionPhase.UNREAD) {
      return passed;
    }
    if (phase == ConnectionPhase.CLOSING) {
      return discard();
    }
    return readRequest() ? passOn(target) : endOrNothing();
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    for (int i = offset; i < offset + length; i++) {
      if (targets[i].hasRemaining()) {
        return read(targets[i]);
      }
    }
    return 0;
  }

  private int endOrNothing() {
    return connection.isOpen() && !ended ? 0 : -1;
  }

  private int passOn(ByteBuffer target) {
    int passed = passedOn.moveTo(target);
    if (!passedOn.hasRemaining()) {
      passedOn = PassedRequest.NONE;
    }
    return passed;
  }

  /** Reads what there is of a request and returns whether it is complete. */
  private boolean readRequest() throws IOException {
    if (reader == null) {
      reader = new RequestReader(form, connections.requestLimits());
      continued = false;
    }
    byte[] source = ahead;
    int length = ahead.length;
    ahead = NOTHING;
    if (length == 0) {
      ByteBuffer buffer = connections.readBuffer();
      buffer.clear().limit(Math.min(buffer.capacity(), wantedBytes()));
      length = next.read(buffer);
      source = buffer.array();
    }
    if (length <= 0) {
      ended = length < 0;
      return false;
    }
    int end = reader.read(source, 0, length);
    if (end < length && reader.refusal() == null) {
      ahead = Arrays.copyOfRange(source, end, length);
    }
    return advance();
  }

  private int wantedBytes() {
    return Math.max(READ_AHEAD_BYTES, reader.missingBytes());
  }

  private boolean advance() {
    if (reader.refusal() != null) {
      refuse(reader.refusal());
      return false;
    }
    if (reader.isComplete()) {
      passedOn = reader.passedOn();
      reader = null;
      if (!holdOpen()) {
        return false;
      }
      enter(ConnectionPhase.EXCHANGE);
      return true;
    }
    if (!holdUnfinished()) {
      return false;
    }
    if (reader.hasHead()) {
      enterOnce(ConnectionPhase.BODY);
      if (reader.awaitsContinue() && !continued) {
        continued = true;
        write(CONTINUE);
      }
    } else if (reader.hasStarted()) {
      enterOnce(ConnectionPhase.HEAD);
    }
    return false;
  }

  private boolean holdUnfinished() {
    long bytes = ahead.length + (reader.hasStarted() ? reader.heldBytes() : 0);
    return connections.hold(id, MemoryPool.UNFINISHED, bytes);
  }

  /** Returns whether a complete request can be held, which costs more once it is parsed. */
  private boolean holdOpen() {
    openBytes = ahead.length;
    openBytes += (long) HEAD_COST * passedOn.remainingHeadBytes();
    openBytes += (long) BODY_COST * passedOn.remainingBodyBytes();
    return connections.hold(id, MemoryPool.OPEN, openBytes);
  }

  private void enterOnce(ConnectionPhase next) {
    if (phase != next) {
      enter(next);
    }
  }

  private void enter(ConnectionPhase next) {
    phase = next;
    connections.waits(id, next);
  }

  /** Tells the client that its request was not run, and ends the connection. */
  void refuse(Refusal refusal) {
    reader = null;
    ahead = NOTHING;
    connections.refused(id, refusal);
    write(refusal.response());
    if (connection.isOpen()) {
      enter(ConnectionPhase.CLOSING);
      try {
        sink.terminateWrites();
        sink.flush();
        next.resumeReads();
      } catch (IOException e) {
        IoUtils.safeClose(connection);
      }
    }
  }

  private void write(byte[] bytes) {
    try {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      sink.write(buffer);
      if (buffer.hasRemaining()) {
        IoUtils.safeClose(connection);
      }
    } catch (IOException e) {
      IoUtils.safeClose(connection);
    }
  }

  private int discard() throws IOException {
    ByteBuffer buffer = connections.readBuffer();
    buffer.clear();
    int length = next.read(buffer);
    discardedBytes += Math.max(0, length);
    if (length < 0 || discardedBytes > MAX_DISCARDED_BYTES) {
      IoUtils.safeClose(connection);
      return -1;
    }
    return 0;
  }

  /** Passes on the head of a request whose body is not complete, as one that has no body. */
  void passOnWithoutBody() {
    passedOn = reader.passedOnWithoutBody();
    reader = null;
    isCut = true;
    enter(ConnectionPhase.EXCHANGE);
    next.wakeupReads();
  }

  /** Returns whether the request that was passed on last lacks its body. */
  boolean isCut() {
    return isCut;
  }

  /** The handler is called for the request that was passed on. */
  void exchangeStarted(HttpServerExchange started) {
    exchange = started;
    bytesSent = -1;
  }

  /** The response is written, or the connection lost. */
  void exchangeCompleted() {
    exchange = null;
    passedOn = PassedRequest.NONE;
    if (connection.isOpen() && connections.hold(id, MemoryPool.UNFINISHED, ahead.length)) {
      enter(ConnectionPhase.IDLE);
    }
  }

  @Override
  public void checkProgress() {
    if (exchange == null || !exchange.isResponseStarted()) {
      return;
    }
    long sent = exchange.getResponseBytesSent();
    if (sent != bytesSent) {
      bytesSent = sent;
      enter(ConnectionPhase.UNREAD);
    }
  }

  /**
   * Reads a little of what follows the request that is being answered; returns whether the client
   * has ended its side of the connection.
   */
  boolean readAhead() {
    try {
      int room = READ_AHEAD_BYTES - ahead.length;
      if (room <= 0) {
        next.suspendReads();
        return false;
      }
      ByteBuffer buffer = connections.readBuffer();
      buffer.clear().limit(room);
      int length = next.read(buffer);
      if (length > 0) {
        keepAhead(buffer.array(), length);
      }
      return length < 0;
    } catch (IOException e) {
      return true;
    }
  }

  private void keepAhead(byte[] source, int length) {
    int before = ahead.length;
    ahead = Arrays.copyOf(ahead, before + length);
    System.arraycopy(source, 0, ahead, before, length);
    openBytes += length;
    connections.hold(id, MemoryPool.OPEN, openBytes);
  }

  /** Closes the connection, and tells a client whose request was slow that it was not run. */
  @Override
  public void close(CloseCause cause) {
    if (cause == CloseCause.SLOW_HEAD || cause == CloseCause.SLOW_BODY) {
      refuse(Refusal.TOO_SLOW);
    } else {
      IoUtils.safeClose(connection);
    }
  }

  @Override
  public void resumeReads() {
    if (passedOn.hasRemaining()) {
      next.wakeupReads();
    } else if (ahead.length > 0 && phase == ConnectionPhase.IDLE) {
      readInNextTurn();
    } else {
      next.resumeReads();
    }
  }

  /**
   * Reads on once the selector has come to other connections: tasks of the I/O thread run before
   * it, so that a task for each request would let a client that sends many occupy the thread.
   */
  private void readInNextTurn() {
    connection
        .getSinkChannel()
        .setWriteListener(
            channel -> {
              channel.suspendWrites();
              channel.setWriteListener(null);
              next.wakeupReads();
            });
    connection.getSinkChannel().resumeWrites();
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    return Conduits.transfer(this, count, throughBuffer, target);
  }
}
