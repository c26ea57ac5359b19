package org.marjoramhoist.listener;

import java.nio.ByteBuffer;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marjoramhoist.connection.CloseCause;
import org.marjoramhoist.connection.ConnectionAction;
import org.marjoramhoist.connection.ConnectionEvent;
import org.marjoramhoist.connection.ConnectionGroup;
import org.marjoramhoist.connection.ConnectionId;
import org.marjoramhoist.connection.ConnectionLimits;
import org.marjoramhoist.connection.ConnectionPhase;
import org.marjoramhoist.connection.ConnectionTable;
import org.marjoramhoist.connection.MemoryPool;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.model.RequestLimits;

/**
 * The connections of all listeners of a host, with one bound on what they may use in sum.
 *
 * <p>Confined to the listeners' only I/O thread, but for the counts, which may be outdated.
 */
public final class Connections {

  /** A connection that can be closed. */
  public interface Client {
    /** Closes the connection. */
    void close(CloseCause cause);

    /** Tells what the connection waits for, if that is not told as it changes. */
    default void checkProgress() {}
  }

  /** Connections that are closed for these don't count any more. */
  private static final Set<CloseCause> FINAL_CAUSES =
      EnumSet.of(CloseCause.DISPLACED, CloseCause.NO_PLACE, CloseCause.NO_MEMORY);

  /** Connections that are closed for these are counted, but not logged. */
  private static final Set<CloseCause> USUAL_CAUSES =
      EnumSet.of(CloseCause.IDLE, CloseCause.REFUSED);

  private static final int READ_BYTES = 16 * 1_024;
  private static final long LOG_INTERVAL_MICROS = 1_000_000;
  private static final LongSupplier CLOCK = () -> TimeUnit.NANOSECONDS.toMicros(System.nanoTime());

  private final Supplier<RequestLimits> limits;
  private final ConnectionTable table;
  private final Map<ConnectionId, Client> open = new HashMap<>();
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);
  private final Map<CloseCause, Integer> closed = new EnumMap<>(CloseCause.class);
  private final Map<Refusal, Integer> refused = new EnumMap<>(Refusal.class);
  private final Map<CloseCause, Integer> closedSinceLog = new EnumMap<>(CloseCause.class);
  private final Map<Refusal, Integer> refusedSinceLog = new EnumMap<>(Refusal.class);
  private long lastId;
  private long nextLogAt;

  /** Creates an empty set of connections with the default limits. */
  public Connections() {
    this(ConnectionLimits.DEFAULT, () -> RequestLimits.DEFAULT);
  }

  /**
   * Creates an empty set of connections.
   *
   * @param bounds what they may use in sum
   * @param limits what one request may cost
   */
  public Connections(ConnectionLimits bounds, Supplier<RequestLimits> limits) {
    this.limits = limits;
    this.table = new ConnectionTable(bounds);
  }

  RequestLimits requestLimits() {
    return limits.get();
  }

  /** Returns a buffer on the heap that is in use until its user returns. */
  ByteBuffer readBuffer() {
    return readBuffer;
  }

  /** Returns the ID of the next connection. */
  public ConnectionId nextId() {
    return new ConnectionId(++lastId);
  }

  /** Adds a connection and returns whether there is a place for it; it is closed if not. */
  public boolean add(ConnectionId id, ConnectionGroup group, Client client) {
    open.put(id, client);
    step(new ConnectionEvent.Opened(id, group));
    return open.containsKey(id);
  }

  /** Takes in what a connection waits for. */
  public void waits(ConnectionId id, ConnectionPhase phase) {
    step(new ConnectionEvent.Waits(id, phase));
  }

  /**
   * Sets the bytes that are held for a connection; returns whether that is possible. It is closed
   * if not.
   */
  public boolean hold(ConnectionId id, MemoryPool pool, long bytes) {
    step(new ConnectionEvent.Holds(id, pool, bytes));
    return open.containsKey(id);
  }

  /** Takes in that a connection is closed. */
  public void remove(ConnectionId id) {
    open.remove(id);
    step(new ConnectionEvent.Closed(id));
  }

  /** Takes in that no connection can be accepted for want of descriptors. */
  void acceptFailed(ConnectionGroup group) {
    step(new ConnectionEvent.AcceptFailed(group));
  }

  void refused(ConnectionId id, Refusal refusal) {
    hold(id, MemoryPool.UNFINISHED, 0);
    refused.merge(refusal, 1, Integer::sum);
    refusedSinceLog.merge(refusal, 1, Integer::sum);
  }

  private void step(ConnectionEvent event) {
    for (ConnectionAction action : table.step(CLOCK.getAsLong(), event)) {
      close(action);
    }
  }

  private void close(ConnectionAction action) {
    closed.merge(action.cause(), 1, Integer::sum);
    if (!USUAL_CAUSES.contains(action.cause())) {
      closedSinceLog.merge(action.cause(), 1, Integer::sum);
    }
    boolean isFinal = FINAL_CAUSES.contains(action.cause());
    Client client = isFinal ? open.remove(action.id()) : open.get(action.id());
    if (client != null) {
      client.close(action.cause());
    }
  }

  /** Closes the connections whose time is up; to be called several times a second. */
  public void tick() {
    open.values().forEach(Client::checkProgress);
    step(new ConnectionEvent.Tick(limits.get()));
    long now = CLOCK.getAsLong();
    if (now >= nextLogAt && !(closedSinceLog.isEmpty() && refusedSinceLog.isEmpty())) {
      nextLogAt = now + LOG_INTERVAL_MICROS;
      log();
    }
  }

  private void log() {
    EventLog.warn(
        LogEvent.CLIENTS_REFUSED,
        "closed={} refused={} open={} unfinishedBytes={} openBytes={} peerBytes={}",
        closedSinceLog,
        refusedSinceLog,
        open.size(),
        heldBytes(MemoryPool.UNFINISHED),
        heldBytes(MemoryPool.OPEN),
        heldBytes(MemoryPool.PEERS));
    closedSinceLog.clear();
    refusedSinceLog.clear();
  }

  /** Returns the most connections of a group. */
  int maxCount(ConnectionGroup group) {
    return table.maxCount(group);
  }

  /** Returns the number of connections of a group. */
  public int count(ConnectionGroup group) {
    return table.count(group);
  }

  /** Returns the bytes held in a pool. */
  public long heldBytes(MemoryPool pool) {
    return table.heldBytes(pool);
  }

  /** Returns how many connections were closed for a cause. */
  public int closedCount(CloseCause cause) {
    return closed.getOrDefault(cause, 0);
  }

  /** Returns how many requests were refused for a reason. */
  public int refusedCount(Refusal refusal) {
    return refused.getOrDefault(refusal, 0);
  }
}
