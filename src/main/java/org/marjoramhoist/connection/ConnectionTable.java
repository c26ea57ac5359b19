package org.marjoramhoist.connection;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.connection.ConnectionEvent.AcceptFailed;
import org.marjoramhoist.connection.ConnectionEvent.Closed;
import org.marjoramhoist.connection.ConnectionEvent.Holds;
import org.marjoramhoist.connection.ConnectionEvent.Opened;
import org.marjoramhoist.connection.ConnectionEvent.Tick;
import org.marjoramhoist.connection.ConnectionEvent.Waits;
import org.marjoramhoist.model.RequestLimits;

/**
 * The open connections of clients, and which of them must be closed.
 *
 * <p>A connection whose client owes something has a deadline. If there are too many, a new one
 * takes the place of one that has waited for its client for the longest time; those that never sent
 * a request go first. If memory lacks, a small request takes that of the largest one whose client
 * owes something; another request is closed itself. A connection to which this host owes a response
 * is never closed for others. Invariant: no group and no pool is larger than its bound. Confined to
 * one thread.
 */
public final class ConnectionTable {

  private static final long MICROS_PER_MILLI = 1_000;

  /** How long a refused client may take to close its connection. */
  private static final long CLOSING_MICROS = 1_000_000;

  /** Until then a new connection counts as one that was used before. */
  private static final long NEWCOMER_MICROS = 500_000;

  /** A request that holds no more may take the memory of another one. */
  private static final long SMALL_REQUEST_BYTES = 16 * 1_024;

  private static final class Entry {
    private final ConnectionId id;
    private final ConnectionGroup group;
    private final long openedAt;
    private ConnectionPhase phase = ConnectionPhase.NEW;
    private boolean hasSentRequest;
    private long waitingSince;
    private long deadline;
    private MemoryPool pool = MemoryPool.UNFINISHED;

    private Entry(ConnectionId id, ConnectionGroup group, long now) {
      this.id = id;
      this.group = group;
      this.openedAt = now;
    }
  }

  private final ConnectionLimits bounds;
  private final Map<ConnectionId, Entry> entries = new LinkedHashMap<>();
  private final Map<ConnectionGroup, Integer> counts = new EnumMap<>(ConnectionGroup.class);
  private final Map<MemoryPool, HeldBytes> held = new EnumMap<>(MemoryPool.class);
  private final Set<ConnectionId> lingering = new LinkedHashSet<>();
  private RequestLimits limits = RequestLimits.DEFAULT;

  /** Creates an empty table. */
  public ConnectionTable(ConnectionLimits bounds) {
    this.bounds = bounds;
    for (MemoryPool pool : MemoryPool.values()) {
      held.put(pool, new HeldBytes(bounds.maxOf(pool)));
    }
  }

  /** Returns the bytes held in a pool. */
  public long heldBytes(MemoryPool pool) {
    return held.get(pool).sum();
  }

  /** Returns the most open connections of a group. */
  public int maxCount(ConnectionGroup group) {
    return bounds.maxOf(group);
  }

  /** Returns the number of open connections of a group. */
  public int count(ConnectionGroup group) {
    return counts.getOrDefault(group, 0);
  }

  /**
   * Handles an event and returns the connections to close. One that makes room for another counts
   * as closed; so does one that gets no place or no memory, if the event is its own.
   *
   * @param now the time in microseconds on the monotonic clock
   */
  public List<ConnectionAction> step(long now, ConnectionEvent event) {
    if (event instanceof Opened opened) {
      return opened(now, opened);
    } else if (event instanceof Waits waits) {
      return waits(now, waits);
    } else if (event instanceof Holds holds) {
      return hold(holds);
    } else if (event instanceof Closed closed) {
      remove(closed.id());
    } else if (event instanceof AcceptFailed failed) {
      return displace(failed.group(), now);
    } else if (event instanceof Tick tick) {
      limits = tick.limits();
      return overdue(now);
    }
    return List.of();
  }

  private List<ConnectionAction> opened(long now, Opened opened) {
    ConnectionGroup group = opened.group();
    List<ConnectionAction> actions = List.of();
    if (count(group) >= bounds.maxOf(group)) {
      actions = displace(group, now);
      if (actions.isEmpty()) {
        return List.of(new ConnectionAction(opened.id(), CloseCause.NO_PLACE));
      }
    }
    Entry entry = new Entry(opened.id(), group, now);
    entries.put(entry.id, entry);
    counts.merge(group, 1, Integer::sum);
    enter(entry, ConnectionPhase.NEW, now);
    return actions;
  }

  private List<ConnectionAction> waits(long now, Waits waits) {
    Entry entry = entries.get(waits.id());
    if (entry == null) {
      return List.of();
    }
    entry.hasSentRequest |= waits.phase() == ConnectionPhase.EXCHANGE;
    enter(entry, waits.phase(), now);
    if (waits.phase() != ConnectionPhase.CLOSING) {
      return List.of();
    }
    lingering.add(entry.id);
    return lingering.size() > bounds.maxLingering()
        ? List.of(new ConnectionAction(lingering.iterator().next(), CloseCause.REFUSED))
        : List.of();
  }

  private void enter(Entry entry, ConnectionPhase phase, long now) {
    entry.phase = phase;
    entry.waitingSince = now;
    entry.deadline = deadline(phase, now);
  }

  private long deadline(ConnectionPhase phase, long now) {
    return switch (phase) {
      case EXCHANGE -> Long.MAX_VALUE;
      case CLOSING -> now + CLOSING_MICROS;
      case HEAD -> now + limits.headTimeoutMillis() * MICROS_PER_MILLI;
      case NEW, IDLE, BODY, UNREAD -> now + limits.idleTimeoutMillis() * MICROS_PER_MILLI;
    };
  }

  private List<ConnectionAction> overdue(long now) {
    List<ConnectionAction> actions = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (now >= Math.min(entry.deadline, deadline(entry.phase, entry.waitingSince))) {
        actions.add(new ConnectionAction(entry.id, causeOf(entry.phase)));
      }
    }
    return actions;
  }

  private static CloseCause causeOf(ConnectionPhase phase) {
    return switch (phase) {
      case NEW, IDLE, EXCHANGE -> CloseCause.IDLE;
      case HEAD -> CloseCause.SLOW_HEAD;
      case BODY -> CloseCause.SLOW_BODY;
      case UNREAD -> CloseCause.UNREAD;
      case CLOSING -> CloseCause.REFUSED;
    };
  }

  private List<ConnectionAction> displace(ConnectionGroup group, long now) {
    Entry victim = null;
    for (Entry entry : entries.values()) {
      if (entry.group == group
          && entry.phase != ConnectionPhase.EXCHANGE
          && (victim == null || goesBefore(entry, victim, now))) {
        victim = entry;
      }
    }
    if (victim == null) {
      return List.of();
    }
    remove(victim.id);
    return List.of(new ConnectionAction(victim.id, CloseCause.DISPLACED));
  }

  private static boolean goesBefore(Entry entry, Entry other, long now) {
    boolean unproven = isUnproven(entry, now);
    if (unproven != isUnproven(other, now)) {
      return unproven;
    }
    return entry.waitingSince < other.waitingSince;
  }

  private static boolean isUnproven(Entry entry, long now) {
    return entry.phase == ConnectionPhase.CLOSING
        || !entry.hasSentRequest && now - entry.openedAt > NEWCOMER_MICROS;
  }

  private List<ConnectionAction> hold(Holds holds) {
    Entry entry = entries.get(holds.id());
    if (entry == null) {
      return List.of();
    }
    if (entry.pool != holds.pool()) {
      held.get(entry.pool).release(entry.id);
      entry.pool = holds.pool();
    }
    HeldBytes pool = held.get(entry.pool);
    List<ConnectionAction> actions = new ArrayList<>();
    while (!pool.set(entry.id, holds.bytes())) {
      Entry victim = holds.bytes() <= SMALL_REQUEST_BYTES ? largest(entry) : null;
      Entry closed = victim == null ? entry : victim;
      remove(closed.id);
      actions.add(new ConnectionAction(closed.id, CloseCause.NO_MEMORY));
      if (victim == null) {
        return actions;
      }
    }
    return actions;
  }

  /** Returns the connection whose client holds the most in the pool of another; null if none. */
  private Entry largest(Entry other) {
    HeldBytes pool = held.get(other.pool);
    Entry largest = null;
    long most = 2 * pool.of(other.id);
    for (Entry entry : entries.values()) {
      if (entry != other
          && entry.pool == other.pool
          && entry.phase != ConnectionPhase.EXCHANGE
          && pool.of(entry.id) > most) {
        largest = entry;
        most = pool.of(entry.id);
      }
    }
    return largest;
  }

  private void remove(ConnectionId id) {
    Entry entry = entries.remove(id);
    if (entry != null) {
      held.get(entry.pool).release(id);
      lingering.remove(id);
      counts.merge(entry.group, -1, Integer::sum);
    }
  }
}
