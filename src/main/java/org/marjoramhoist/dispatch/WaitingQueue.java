package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;

/**
 * The queue of waiting jobs, in the order in which they are allocated capacity.
 *
 * <p>Positions are computed only when the queue is replaced and for jobs that are inserted.
 * Capacity for one task often becomes free thousands of times a second; sorting all jobs each time
 * would get more expensive with the length of the queue until fewer jobs are started than arrive.
 *
 * <p>Confined to one thread.
 */
final class WaitingQueue implements Iterable<Job> {

  private final QueueOrder order;
  private final List<QueueOrder.Position> positions = new ArrayList<>();

  WaitingQueue(QueueOrder order) {
    this.order = order;
  }

  /**
   * Replaces the contents of the queue.
   *
   * @param newPositions the queue positions, in order
   */
  void replaceAll(List<QueueOrder.Position> newPositions) {
    positions.clear();
    positions.addAll(newPositions);
  }

  /** Inserts jobs, each after the jobs with an equal position. */
  void insert(Collection<Job> jobs, long now) {
    for (Job job : jobs) {
      QueueOrder.Position position = order.positionOf(job, now);
      int index = Collections.binarySearch(positions, position);
      positions.add(index < 0 ? -index - 1 : index + 1, position);
    }
  }

  boolean isEmpty() {
    return positions.isEmpty();
  }

  /**
   * Returns the smallest CPU requirement of any task of the queued jobs, in thousandths of a core.
   */
  long minCpuMillis() {
    return minCpuMillis(positions);
  }

  /**
   * Returns the smallest CPU requirement of any task of the jobs at the given positions, in
   * thousandths of a core; the largest number if there are none.
   */
  static long minCpuMillis(List<QueueOrder.Position> positions) {
    long min = Long.MAX_VALUE;
    for (QueueOrder.Position position : positions) {
      min = Math.min(min, position.job().minCpuMillis());
    }
    return min;
  }

  /** Returns an iterator over the jobs in queue order. It supports removal. */
  @Override
  public Iterator<Job> iterator() {
    Iterator<QueueOrder.Position> iterator = positions.iterator();
    return new Iterator<>() {
      @Override
      public boolean hasNext() {
        return iterator.hasNext();
      }

      @Override
      public Job next() {
        return iterator.next().job();
      }

      @Override
      public void remove() {
        iterator.remove();
      }
    };
  }
}
