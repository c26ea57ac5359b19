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
 * The configuration in force at this host.
 *
 * <p>Invariant: its version never goes back. Confined to the loop's thread, but for {@link
 * #current}.
 */
final class ConfigWatch implements PrefixWatch.Listener {

  private volatile RouteTable current = RouteTable.EMPTY;
  private String text = "";

  /** Returns the configuration in force; empty at first. */
  RouteTable current() {
    return current;
  }

  /** Returns the configuration as the operator wrote it; empty at first. */
  String text() {
    return text;
  }

  /** Tells whether a configuration is in force. */
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

  /** Puts a configuration in force if it is newer. */
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
