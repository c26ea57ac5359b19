package org.marjoramhoist.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The keys of the stand-in store, with revisions, leases and a history for watches.
 *
 * <p>Keys and values are the base64 texts of the protocol; keys are ordered by their decoded form.
 * Safe for use by several threads: every method holds the object's lock.
 */
final class KeyValues {

  private static final int HISTORY_LENGTH = 100_000;

  /** A key as it is held. */
  record Item(String key, String value, long created, long modified, long version, long lease) {}

  /** A change, for watches. */
  record Change(long revision, Item item, boolean deleted) {}

  private record Lease(long ttlMillis, long deadline) {}

  private final NavigableMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 1;
  private long nextLease = 1_000;

  synchronized long revision() {
    return revision;
  }

  synchronized long modified(String key) {
    Item item = items.get(key);
    return item == null ? 0 : item.modified;
  }

  /** Returns the items from a key, to before another; an empty end stands for the one key. */
  synchronized List<Item> range(String from, String to) {
    if (to.isEmpty()) {
      Item item = items.get(from);
      return item == null ? List.of() : List.of(item);
    }
    if (from.compareTo(to) >= 0) {
      return List.of();
    }
    return new ArrayList<>(items.subMap(from, true, to, false).values());
  }

  /** Runs changes under one new revision; returns it. */
  synchronized long change(Runnable changes) {
    revision++;
    changes.run();
    return revision;
  }

  synchronized void put(String key, String value, long lease) {
    Item old = items.get(key);
    long created = old == null ? revision : old.created;
    long version = old == null ? 1 : old.version + 1;
    Item item = new Item(key, value, created, revision, version, lease);
    items.put(key, item);
    remember(new Change(revision, item, false));
  }

  synchronized int delete(String from, String to) {
    List<Item> gone = range(from, to);
    for (Item item : gone) {
      items.remove(item.key);
      remember(new Change(revision, new Item(item.key, "", 0, revision, 0, 0), true));
    }
    return gone.size();
  }

  private void remember(Change change) {
    history.add(change);
    if (history.size() > HISTORY_LENGTH) {
      history.subList(0, HISTORY_LENGTH / 2).clear();
    }
  }

  /** Returns the changes of a range from a revision on. */
  synchronized List<Change> changes(String from, String to, long fromRevision) {
    List<Change> found = new ArrayList<>();
    for (int i = firstAt(fromRevision); i < history.size(); i++) {
      Change change = history.get(i);
      String key = change.item.key;
      if (key.compareTo(from) >= 0 && (to.isEmpty() ? key.equals(from) : key.compareTo(to) < 0)) {
        found.add(change);
      }
    }
    return found;
  }

  private int firstAt(long fromRevision) {
    int low = 0;
    int high = history.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (history.get(middle).revision < fromRevision) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** Grants a lease of so many milliseconds. */
  synchronized long grant(long now, long ttlMillis) {
    leases.put(++nextLease, new Lease(ttlMillis, now + ttlMillis));
    return nextLease;
  }

  /** Renews a lease; returns its time to live in milliseconds, 0 if it has lapsed. */
  synchronized long renew(long lease, long now) {
    Lease renewed =
        leases.computeIfPresent(lease, (id, old) -> new Lease(old.ttlMillis, now + old.ttlMillis));
    return renewed == null ? 0 : renewed.ttlMillis;
  }

  /** Deletes the keys of leases that have lapsed; returns whether there were any. */
  synchronized boolean expire(long now) {
    List<Long> lapsed = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (lease.deadline <= now) {
            lapsed.add(id);
          }
        });
    boolean any = false;
    for (long id : lapsed) {
      leases.remove(id);
      for (Item item : new ArrayList<>(items.values())) {
        if (item.lease == id) {
          any = true;
          change(() -> delete(item.key, ""));
        }
      }
    }
    return any;
  }
}
