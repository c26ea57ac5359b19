package org.marjoramhoist.platform.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Condition;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.KeyValueClient.Put;

/**
 * Keys with revisions, conditions, leases and a bounded history.
 *
 * <p>Not safe for use by several threads at a time; its server holds a lock.
 */
final class StoreModel {

  private record Lease(long ttlMillis, long endsAt) {}

  private record Stored(Item item, long lease) {}

  private final TreeMap<String, Stored> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long historyFrom;
  private long revision = 1;
  private long leaseCount;

  long revision() {
    return revision;
  }

  List<Item> range(String prefix) {
    List<Item> found = new ArrayList<>();
    for (Stored stored : items.tailMap(prefix, true).values()) {
      if (!stored.item().key().startsWith(prefix)) {
        break;
      }
      found.add(stored.item());
    }
    return found;
  }

  /** Returns the keys of the conditions as they are; empty if all conditions hold. */
  List<Item> conflicts(List<Condition> conditions) {
    List<Item> current = new ArrayList<>();
    boolean allHold = true;
    for (Condition condition : conditions) {
      Stored stored = items.get(condition.key());
      Item item = stored == null ? new Item(condition.key(), null, 0) : stored.item();
      current.add(item);
      allHold &= item.revision() == condition.revision();
    }
    return allHold ? List.of() : current;
  }

  boolean holds(long lease) {
    return lease == 0 || leases.containsKey(lease);
  }

  /** Makes changes under one revision. */
  void apply(List<Put> puts, List<String> deletes) {
    revision++;
    for (Put put : puts) {
      Item item = new Item(put.key(), put.value(), revision);
      items.put(put.key(), new Stored(item, put.lease()));
      history.add(new Change(item));
    }
    deletes.forEach(this::delete);
  }

  private void delete(String key) {
    if (items.remove(key) != null) {
      history.add(new Change(new Item(key, null, revision)));
    }
  }

  /** Returns the changes under a prefix after a revision; null if they are forgotten. */
  List<Change> changesAfter(String prefix, long after) {
    if (after < historyFrom) {
      return null;
    }
    return history.stream()
        .filter(c -> c.item().revision() > after && c.item().key().startsWith(prefix))
        .toList();
  }

  /** Forgets all history. */
  void compact() {
    historyFrom = revision;
    history.clear();
  }

  long grant(long ttlMillis, long now) {
    leaseCount++;
    leases.put(leaseCount, new Lease(ttlMillis, now + ttlMillis));
    return leaseCount;
  }

  long leasesGranted() {
    return leaseCount;
  }

  boolean keep(long lease, long now) {
    Lease held = leases.get(lease);
    if (held == null) {
      return false;
    }
    leases.put(lease, new Lease(held.ttlMillis(), now + held.ttlMillis()));
    return true;
  }

  void end(long lease) {
    leases.remove(lease);
    List<String> keys =
        items.values().stream()
            .filter(stored -> stored.lease() == lease)
            .map(stored -> stored.item().key())
            .toList();
    if (!keys.isEmpty()) {
      apply(List.of(), keys);
    }
  }

  /** Ends leases whose time is over. */
  void expire(long now) {
    for (Map.Entry<Long, Lease> each : List.copyOf(leases.entrySet())) {
      if (each.getValue().endsAt() < now) {
        end(each.getKey());
      }
    }
  }
}
