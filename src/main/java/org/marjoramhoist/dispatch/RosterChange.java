package org.marjoramhoist.dispatch;

import java.util.List;

/**
 * A change of the stored roster: workers that are added or replaced, or workers that are removed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number the sequence number of the change within the leader's term, from 1
 * @param added the workers to add or replace
 * @param removed the ids of the workers to remove
 */
public record RosterChange(long number, List<WorkerInfo> added, List<String> removed) {

  /** Creates a change with copies of the lists. */
  public RosterChange {
    added = List.copyOf(added);
    removed = List.copyOf(removed);
  }
}
