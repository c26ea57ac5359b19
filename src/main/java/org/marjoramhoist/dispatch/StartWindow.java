package org.marjoramhoist.dispatch;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.job.RunRef;

/**
 * The unanswered start orders, and whether another one may be sent.
 *
 * <p>The window bounds the work that an overloaded leader adds for itself. An order that was
 * overtaken, as one sent notably later was answered, does not indicate that the leader is
 * overloaded: its worker is silent. It is removed from the window at once, and the number of such
 * orders has its own limit.
 *
 * <p>An adaptive window widens while it is full and replies are prompt, so that a sudden load
 * increase does not wait for round trips. A reply that takes much longer than the fastest one
 * indicates that orders queue up at the leader: the limit is then halved, at most once for the
 * orders sent since the last time.
 *
 * <p>Confined to one thread.
 */
final class StartWindow {

  /** The limit of a window that is not adaptive, and the least limit of one that is. */
  private static final int MIN_LIMIT = 24;

  private static final int MAX_LIMIT = 8 * MIN_LIMIT;
  private static final int MAX_SILENT = 8 * MIN_LIMIT;

  /** A reply that takes longer than this multiple of the fastest one indicates a queue. */
  private static final int PROMPT_FACTOR = 4;

  /** How much longer than the fastest one a prompt reply may take in any case. */
  private static final long PROMPT_MARGIN_MICROS = 3_000;

  /**
   * A reply that takes longer is never prompt, since the fastest one may have been slow as well.
   */
  private static final long MAX_PROMPT_MICROS = 20_000;

  /** The divisor of the limit after a late reply. */
  private static final int NARROWING_DIVISOR = 2;

  /** How much later than an order another must have been sent to overtake it. */
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
   * @param adaptive whether it widens while replies are prompt, and narrows otherwise
   */
  StartWindow(boolean adaptive) {
    this.adaptive = adaptive;
  }

  /** Tells whether another order may be sent. */
  boolean isOpen() {
    return sentAt.size() < limit && silent.size() < MAX_SILENT;
  }

  /** Returns the number of unanswered orders, including the silent ones. */
  int size() {
    return sentAt.size() + silent.size();
  }

  /** Returns the number of unanswered orders that were overtaken. */
  int silentCount() {
    return silent.size();
  }

  void orderSent(RunRef run, long now) {
    sentAt.put(run, now);
  }

  /** Returns how many orders that were not overtaken may be unanswered at a time. */
  int limit() {
    return limit;
  }

  /** Records the reply to an order. */
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

  /**
   * Widens the window by one for each prompt reply while it is full; halves it at most once a round
   * trip for late ones.
   */
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

  /** Records that an order will not be answered. */
  void orderUnanswered(RunRef run) {
    sentAt.remove(run);
    silent.remove(run);
  }

  private void markSilent(long sentBefore) {
    Iterator<Map.Entry<RunRef, Long>> oldest = sentAt.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<RunRef, Long> order = oldest.next();
      if (order.getValue() >= sentBefore) {
        return;
      }
      silent.add(order.getKey());
      oldest.remove();
    }
  }
}
