package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The stored roster: the workers that a leader of the partition may have assigned work. A later
 * leader looks for runs of previous leaders on all of them, as the list of workers may lack some
 * that have running tasks.
 *
 * <p>Invariants: a worker that {@link #contains} names is stored, and stays so until this leader
 * removes it; at most one change is being stored at a time. Confined to one thread.
 */
final class Roster {

  private static final int MAX_ADDED = 30;
  private static final int MAX_REMOVED = 15;

  private final Map<String, WorkerInfo> stored = new HashMap<>();
  private RosterChange pendingChange;
  private long changeCount;
  private boolean loaded;

  /** Loads the workers that previous leaders stored. */
  void load(List<WorkerInfo> workers) {
    loaded = true;
    workers.forEach(worker -> stored.put(worker.id(), worker));
  }

  /** Tells whether the workers that previous leaders stored are known. */
  boolean isLoaded() {
    return loaded;
  }

  boolean contains(String worker) {
    return stored.containsKey(worker);
  }

  /** Stores the next difference from the known workers, unless a change is being stored. */
  void flush(Collection<Worker> known, List<DispatchAction> out) {
    if (!loaded || pendingChange != null) {
      return;
    }
    List<WorkerInfo> added = missing(known);
    List<String> removed = added.isEmpty() ? surplus(known) : List.of();
    if (added.isEmpty() && removed.isEmpty()) {
      return;
    }
    // From now on they may be deleted at any moment.
    removed.forEach(stored::remove);
    pendingChange = new RosterChange(++changeCount, added, removed);
    out.add(new DispatchAction.StoreRoster(pendingChange));
  }

  private List<WorkerInfo> missing(Collection<Worker> known) {
    List<WorkerInfo> missing = new ArrayList<>();
    for (Worker worker : known) {
      boolean isStored = worker.info().equals(stored.get(worker.id()));
      if (!isStored && missing.size() < MAX_ADDED) {
        missing.add(worker.info());
      }
    }
    return missing;
  }

  private List<String> surplus(Collection<Worker> known) {
    if (stored.size() <= known.size()) {
      return List.of();
    }
    Set<String> surplus = new HashSet<>(stored.keySet());
    known.forEach(worker -> surplus.remove(worker.id()));
    return surplus.stream().sorted().limit(MAX_REMOVED).toList();
  }

  /** Handles the confirmation that a change is stored. */
  void confirmChange(long number) {
    if (pendingChange == null || pendingChange.number() != number) {
      return;
    }
    pendingChange.added().forEach(worker -> stored.put(worker.id(), worker));
    pendingChange = null;
  }
}
