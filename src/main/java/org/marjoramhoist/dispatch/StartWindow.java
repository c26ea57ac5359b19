package org.marjoramhoist.dispatch;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.job.RunRef;

/**
 * The orders to start that have not ended, and whether another may be sent.
 *
 * <p>The window bounds what a leader that is behind adds to its own work. An order that was
 * overtaken, as one sent notably later was answered, does not show that the leader is behind: its
 * worker is silent. It leaves the window at once, and is bounded by itself.
 *
 * <p>Confined to one thread.
 */
final class StartWindow {

  private static final int SIZE = 24;
  private static final int MAX_SILENT = 8 * SIZE;

  /** How much later than an order one must have been sent to overtake it. */
  private static final long OVERTAKEN_MICROS = 10_000;

  private final Map<RunRef, Long> sentAt = new LinkedHashMap<>();
  private final Set<RunRef> silent = new HashSet<>();

  /** Tells whether another order may be sent. */
  boolean isOpen() {
    return sentAt.size() < SIZE && silent.size() < MAX_SILENT;
  }

  /** Returns how many orders have not ended. */
  int size() {
    return sentAt.size() + silent.size();
  }

  /** Returns how many of those were overtaken. */
  int silent() {
    return silent.size();
  }

  void sent(RunRef run, long now) {
    sentAt.put(run, now);
  }

  /** Takes in that an order was answered. */
  void answered(RunRef run) {
    Long at = sentAt.remove(run);
    silent.remove(run);
    if (at != null) {
      overtake(at - OVERTAKEN_MICROS);
    }
  }

  /** Takes in that an order will not be answered. */
  void unanswered(RunRef run) {
    sentAt.remove(run);
    silent.remove(run);
  }

  private void overtake(long before) {
    Iterator<Map.Entry<RunRef, Long>> oldest = sentAt.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<RunRef, Long> order = oldest.next();
      if (order.getValue() >= before) {
        return;
      }
      silent.add(order.getKey());
      oldest.remove();
    }
  }
}
