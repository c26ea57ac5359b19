package org.marjoramhoist.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A queue of things to do at virtual times, in microseconds since the epoch.
 *
 * <p>Things due at the same time are done in the order in which they were planned. Confined to one
 * thread.
 */
public final class VirtualTime {

  private record Due(long time, long order, Runnable task) {}

  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparingLong(Due::time).thenComparingLong(Due::order));
  private long now;
  private long orders;

  /** Creates a queue whose time begins at the given one. */
  public VirtualTime(long start) {
    now = start;
  }

  long now() {
    return now;
  }

  void at(long time, Runnable task) {
    queue.add(new Due(Math.max(now, time), orders++, task));
  }

  void after(long micros, Runnable task) {
    at(now + micros, task);
  }

  /** Does all that is due up to a time. */
  public void runUntil(long time) {
    while (!queue.isEmpty() && queue.peek().time <= time) {
      Due due = queue.poll();
      now = due.time;
      due.task.run();
    }
    now = Math.max(now, time);
  }
}
