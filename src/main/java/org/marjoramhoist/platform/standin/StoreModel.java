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
 * Keys with revisions, leases and a history of changes that can be discarded.
 *
 * <p>Not safe for use by several threads; the server synchronizes access.
 */
final class StoreModel {

  private record Lease(long ttlMillis, long expiresAtMillis) {}

  private record Stored(Item item, long lease) {}

  private final TreeMap<String, Stored> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long compactedRevision;
  private long revision = 1;
  private long leaseCount;

  long revision() {
    return revision;
  }

  List<Item> range(String prefix) {
    List<Item> matches = new ArrayList<>();
    for (Stored stored : items.tailMap(prefix, true).values()) {
      if (!stored.item().key().startsWith(prefix)) {
        break;
      }
      matches.add(stored.item());
    }
    return matches;
  }

  /** Returns the current items of the conditions' keys; empty if all conditions hold. */
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

  boolean hasLease(long lease) {
    return lease == 0 || leases.containsKey(lease);
  }

  /** Applies changes at a new revision. */
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

  /** Returns the changes under a prefix after a revision; null if some of them were discarded. */
  List<Change> changesAfter(String prefix, long after) {
    if (after < compactedRevision) {
      return null;
    }
    return history.stream()
        .filter(c -> c.item().revision() > after && c.item().key().startsWith(prefix))
        .toList();
  }

  /** Discards the history of changes. */
  void compact() {
    compactedRevision = revision;
    history.clear();
  }

  long grantLease(long ttlMillis, long now) {
    leaseCount++;
    leases.put(leaseCount, new Lease(ttlMillis, now + ttlMillis));
    return leaseCount;
  }

  long leasesGranted() {
    return leaseCount;
  }

  boolean renewLease(long lease, long now) {
    Lease current = leases.get(lease);
    if (current == null) {
      return false;
    }
    leases.put(lease, new Lease(current.ttlMillis(), now + current.ttlMillis()));
    return true;
  }

  void endLease(long lease) {
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

  /** Ends expired leases and deletes their keys. */
  void expireLeases(long now) {
    for (Map.Entry<Long, Lease> lease : List.copyOf(leases.entrySet())) {
      if (lease.getValue().expiresAtMillis() < now) {
        endLease(lease.getKey());
      }
    }
  }
}
