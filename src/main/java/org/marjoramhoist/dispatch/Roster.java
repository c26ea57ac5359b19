package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The roster: the stored set of workers to which a leader of the partition may have assigned work.
 * A later leader looks for runs of previous leaders on all of them, as a worker with running tasks
 * may be missing from the list of workers.
 *
 * <p>Invariants: a worker for which {@link #contains} returns true is stored and remains so until
 * this leader removes it; at most one change is being stored at a time. Confined to one thread.
 */
final class Roster {

  /** Limits the size of the transaction that stores a change. */
  private static final int MAX_ADDED_PER_CHANGE = 30;

  /** Each removal takes both a condition and an operation of the transaction. */
  private static final int MAX_REMOVED_PER_CHANGE = 15;

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

  /**
   * Requests the next change that brings the roster closer to the known workers, unless a change is
   * being stored.
   */
  void requestNextChange(Collection<Worker> known, List<DispatchAction> out) {
    if (!loaded || pendingChange != null) {
      return;
    }
    List<WorkerInfo> added = missing(known);
    // Additions come first, as a worker is assigned no work before it is stored.
    List<String> removed = added.isEmpty() ? surplus(known) : List.of();
    if (added.isEmpty() && removed.isEmpty()) {
      return;
    }
    // The change may take effect at any time from now on.
    removed.forEach(stored::remove);
    pendingChange = new RosterChange(++changeCount, added, removed);
    out.add(new DispatchAction.StoreRoster(pendingChange));
  }

  private List<WorkerInfo> missing(Collection<Worker> known) {
    List<WorkerInfo> missing = new ArrayList<>();
    for (Worker worker : known) {
      boolean isUpToDate = worker.info().equals(stored.get(worker.id()));
      if (!isUpToDate && missing.size() < MAX_ADDED_PER_CHANGE) {
        missing.add(worker.info());
      }
    }
    return missing;
  }

  private List<String> surplus(Collection<Worker> known) {
    // All known workers are stored, as there is nothing to add.
    if (stored.size() <= known.size()) {
      return List.of();
    }
    Set<String> surplus = new HashSet<>(stored.keySet());
    known.forEach(worker -> surplus.remove(worker.id()));
    return surplus.stream().sorted().limit(MAX_REMOVED_PER_CHANGE).toList();
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
