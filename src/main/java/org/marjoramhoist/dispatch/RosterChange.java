package org.marjoramhoist.dispatch;

import java.util.List;

/**
 * A change of the stored roster: workers that are added or replaced, or workers that are removed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number the sequence number in the term, from 1
 * @param added workers to store
 * @param removed ids of workers to delete
 */
public record RosterChange(long number, List<WorkerInfo> added, List<String> removed) {

  /** Creates a change with copies of the lists. */
  public RosterChange {
    added = List.copyOf(added);
    removed = List.copyOf(removed);
  }
}
