package org.marjoramhoist.entry;

import java.io.IOException;
import java.util.List;
import org.marjoramhoist.job.RouteTable;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.StoreDocuments;

/**
 * The configuration that this host uses.
 *
 * <p>Invariant: its version never decreases. Confined to the event loop's thread, except for {@link
 * #current}.
 */
final class ConfigWatch implements PrefixWatch.Listener {

  private volatile RouteTable current = RouteTable.EMPTY;
  private String text = "";

  /** Returns the current configuration; empty until one is applied. */
  RouteTable current() {
    return current;
  }

  /** Returns the source text of the current configuration; empty until one is applied. */
  String text() {
    return text;
  }

  /** Returns whether a configuration has been applied. */
  boolean isKnown() {
    return !text.isEmpty();
  }

  @Override
  public void replaced(List<Item> items, long revision) {
    items.forEach(this::applyItem);
  }

  @Override
  public void changed(Change change) {
    if (!change.isDeletion()) {
      applyItem(change.item());
    }
  }

  private void applyItem(Item item) {
    if (item.key().equals(StoreDocuments.CONFIG_KEY)) {
      applyIfNewer(item.value(), "store revision " + item.revision());
    }
  }

  /** Applies a configuration if its version is newer than the current one. */
  void applyIfNewer(String candidate, String source) {
    RouteTable table;
    try {
      table = StoreDocuments.parseConfig(candidate);
    } catch (IOException e) {
      EventLog.warn(LogEvent.CONFIG_RESOURCE_INVALID, "reason={}", e.getMessage());
      return;
    }
    if (isKnown() && table.version() <= current.version()) {
      if (table.version() < current.version()) {
        EventLog.info(LogEvent.CONFIG_OLDER_REFUSED, "version={}", table.version());
      }
      return;
    }
    text = candidate;
    current = table;
    EventLog.info(LogEvent.CONFIG_APPLIED, "version={} source={}", table.version(), source);
  }
}
