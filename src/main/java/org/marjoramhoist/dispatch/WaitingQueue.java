package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;

/**
 * The waiting jobs in the order in which they get room.
 *
 * <p>Places are found anew only when the line is set, and for jobs that join it: room for one task
 * often comes thousands of times a second, and ordering all jobs each time would cost more, the
 * more of them wait, until less is started than arrives.
 *
 * <p>Confined to one thread.
 */
final class WaitingQueue implements Iterable<Job> {

  private final QueueOrder order;
  private final List<QueueOrder.Position> positions = new ArrayList<>();

  WaitingQueue(QueueOrder order) {
    this.order = order;
  }

  /** Replaces the line by jobs whose places were found in order. */
  void replaceAll(List<QueueOrder.Position> places) {
    positions.clear();
    positions.addAll(places);
  }

  /** Lets jobs join, each behind those of its place. */
  void insert(Collection<Job> jobs, long now) {
    for (Job job : jobs) {
      QueueOrder.Position place = order.positionOf(job, now);
      int found = Collections.binarySearch(positions, place);
      positions.add(found < 0 ? -found - 1 : found + 1, place);
    }
  }

  boolean isEmpty() {
    return positions.isEmpty();
  }

  /** Returns the least processor need of any task of the jobs, in thousandths of a core. */
  long leastCpuMillis() {
    long least = Long.MAX_VALUE;
    for (QueueOrder.Position place : positions) {
      least = Math.min(least, place.job().minCpuMillis());
    }
    return least;
  }

  /** Returns the jobs in their order; the iterator can take jobs out of the line. */
  @Override
  public Iterator<Job> iterator() {
    Iterator<QueueOrder.Position> places = positions.iterator();
    return new Iterator<>() {
      @Override
      public boolean hasNext() {
        return places.hasNext();
      }

      @Override
      public Job next() {
        return places.next().job();
      }

      @Override
      public void remove() {
        places.remove();
      }
    };
  }
}
