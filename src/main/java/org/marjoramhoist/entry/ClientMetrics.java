package org.marjoramhoist.entry;

import java.util.Locale;
import org.marjoramhoist.connection.CloseCause;
import org.marjoramhoist.connection.ConnectionGroup;
import org.marjoramhoist.connection.MemoryPool;
import org.marjoramhoist.listener.Connections;
import org.marjoramhoist.listener.Refusal;

/**
 * Registers the counts of clients' connections.
 *
 * <p>Stateless; the counts are read by the thread that scrapes.
 */
final class ClientMetrics {

  private ClientMetrics() {}

  static void register(NodeMetrics metrics, Connections connections) {
    for (MemoryPool pool : MemoryPool.values()) {
      metrics.gauge(
          "marjoramhoist.clients.held.bytes",
          "pool",
          text(pool),
          () -> connections.heldBytes(pool));
    }
    for (ConnectionGroup group : ConnectionGroup.values()) {
      metrics.gauge(
          "marjoramhoist.clients.connections",
          "group",
          text(group),
          () -> connections.count(group));
    }
    for (CloseCause cause : CloseCause.values()) {
      metrics.counter(
          "marjoramhoist.clients.closed",
          "cause",
          text(cause),
          connections,
          source -> source.closedCount(cause));
    }
    for (Refusal refusal : Refusal.values()) {
      metrics.counter(
          "marjoramhoist.clients.refused",
          "reason",
          text(refusal),
          connections,
          source -> source.refusedCount(refusal));
    }
  }

  private static String text(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
