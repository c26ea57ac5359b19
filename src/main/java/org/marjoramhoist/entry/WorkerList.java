package org.marjoramhoist.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.WorkerEntries;

/**
 * The list of workers as read from the store. An entry that names no worker to use is logged once
 * for each content, and leaves the others as they are.
 *
 * <p>Confined to the event loop's thread.
 */
final class WorkerList {

  private static final int MAX_LOGGED_KEY_CHARS = 200;

  private final NodeMetrics metrics;

  /** The hash codes of the contents that were logged, by key. */
  private final Map<String, Integer> logged = new HashMap<>();

  WorkerList(NodeMetrics metrics) {
    this.metrics = metrics;
  }

  /** Returns the workers that the entries name. */
  List<WorkerInfo> read(List<Item> entries) {
    Set<String> keys = entries.stream().map(Item::key).collect(Collectors.toSet());
    logged.keySet().retainAll(keys);
    List<WorkerInfo> workers = new ArrayList<>(entries.size());
    for (Item entry : entries) {
      try {
        workers.add(WorkerEntries.parse(entry.key(), entry.value()));
        logged.remove(entry.key());
      } catch (IOException e) {
        log(entry, e);
      }
    }
    return workers;
  }

  private void log(Item entry, IOException reason) {
    int content = String.valueOf(entry.value()).hashCode();
    Integer before = logged.put(entry.key(), content);
    if (before == null || before != content) {
      String key = entry.key();
      metrics.countEvent(LogEvent.WORKER_ENTRY_INVALID);
      EventLog.warn(
          LogEvent.WORKER_ENTRY_INVALID,
          "key={} revision={} reason={}",
          key.substring(0, Math.min(MAX_LOGGED_KEY_CHARS, key.length())),
          entry.revision(),
          firstLine(reason.getMessage()));
    }
  }

  private static String firstLine(String text) {
    return text == null ? "" : text.lines().findFirst().orElse("");
  }
}
