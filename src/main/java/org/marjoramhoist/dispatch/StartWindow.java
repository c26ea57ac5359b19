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
 * <p>A window that adapts widens while it is full and answers come promptly, so that a step in the
 * load does not wait for round trips. An answer that takes much longer than the quickest shows that
 * orders queue up at the leader: then the window halves, at most once for the orders sent since.
 *
 * <p>Confined to one thread.
 */
final class StartWindow {

  /** The size of a window that does not adapt, and the least of one that does. */
  private static final int MIN_LIMIT = 24;

  private static final int MAX_LIMIT = 8 * MIN_LIMIT;
  private static final int MAX_SILENT = 8 * MIN_LIMIT;

  /** An answer that takes longer than this multiple of the quickest shows a queue. */
  private static final int PROMPT_FACTOR = 4;

  /** What an answer may always take longer than the quickest. */
  private static final long PROMPT_MARGIN_MICROS = 3_000;

  /** An answer that takes this long is never prompt: the quickest may have been slow as well. */
  private static final long MAX_PROMPT_MICROS = 20_000;

  /** How much a window narrows on a late answer, as a divisor. */
  private static final int NARROWING_DIVISOR = 2;

  /** How much later than an order one must have been sent to overtake it. */
  private static final long OVERTAKING_MICROS = 10_000;

  private final Map<RunRef, Long> sentAt = new LinkedHashMap<>();
  private final Set<RunRef> silent = new HashSet<>();
  private final boolean adaptive;
  private int limit = MIN_LIMIT;
  private long shortestMicros = Long.MAX_VALUE;
  private long narrowedAt = Long.MIN_VALUE;

  /**
   * Creates an empty window.
   *
   * @param adapts whether it widens while answers come promptly, and narrows when they do not
   */
  StartWindow(boolean adapts) {
    this.adaptive = adapts;
  }

  /** Tells whether another order may be sent. */
  boolean isOpen() {
    return sentAt.size() < limit && silent.size() < MAX_SILENT;
  }

  /** Returns how many orders have not ended. */
  int size() {
    return sentAt.size() + silent.size();
  }

  /** Returns how many of those were overtaken. */
  int silentCount() {
    return silent.size();
  }

  void orderSent(RunRef run, long now) {
    sentAt.put(run, now);
  }

  /** Returns how many orders may be under way that were not overtaken. */
  int limit() {
    return limit;
  }

  /** Takes in that an order was answered. */
  void orderAnswered(RunRef run, long now) {
    boolean wasFull = sentAt.size() >= limit;
    Long at = sentAt.remove(run);
    silent.remove(run);
    if (at != null) {
      markSilent(at - OVERTAKING_MICROS);
      if (adaptive) {
        adapt(at, wasFull, now);
      }
    }
  }

  /** Widens by an order for each prompt answer while full; narrows once a round trip if late. */
  private void adapt(long at, boolean wasFull, long now) {
    long took = now - at;
    shortestMicros = Math.min(shortestMicros, took);
    if (took
        <= Math.min(MAX_PROMPT_MICROS, PROMPT_FACTOR * shortestMicros + PROMPT_MARGIN_MICROS)) {
      limit = wasFull ? Math.min(MAX_LIMIT, limit + 1) : limit;
    } else if (at > narrowedAt) {
      limit = Math.max(MIN_LIMIT, limit / NARROWING_DIVISOR);
      narrowedAt = now;
    }
  }

  /** Takes in that an order will not be answered. */
  void orderUnanswered(RunRef run) {
    sentAt.remove(run);
    silent.remove(run);
  }

  private void markSilent(long before) {
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
