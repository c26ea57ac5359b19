package org.marjoramhoist.dispatch;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.job.RunRef;

/**
 * Limits the number of unanswered start orders.
 *
 * <p>The limit prevents an overloaded leader from adding to its own load. An order that is still
 * unanswered when one sent notably later is answered indicates an unresponsive worker rather than
 * an overloaded leader. Such an order is overtaken and counted as silent: it no longer occupies the
 * window, and the number of silent orders has its own limit.
 *
 * <p>An adaptive window widens while it is full and replies are prompt, so that orders are not
 * delayed by round trips after a sudden load increase. A reply that takes much longer than the
 * fastest one indicates that orders queue up at the leader: the limit is then halved. Late replies
 * to orders that were sent before that do not halve it again.
 *
 * <p>Confined to one thread.
 */
final class StartWindow {

  /** The limit of a window that is not adaptive, and the minimum limit of an adaptive one. */
  private static final int MIN_LIMIT = 24;

  private static final int MAX_LIMIT = 8 * MIN_LIMIT;

  /** The maximum number of silent orders. */
  private static final int MAX_SILENT = 8 * MIN_LIMIT;

  /**
   * A reply is prompt if it takes at most this multiple of the fastest one plus {@link
   * #PROMPT_MARGIN_MICROS}.
   */
  private static final int PROMPT_FACTOR = 4;

  private static final long PROMPT_MARGIN_MICROS = 3_000;

  /**
   * A reply that takes longer is never prompt, since the fastest one may have been slow as well.
   */
  private static final long MAX_PROMPT_MICROS = 20_000;

  /** By what the limit is divided after a late reply. */
  private static final int NARROWING_DIVISOR = 2;

  /** An order is overtaken by the reply to one that was sent later by more than this. */
  private static final long OVERTAKING_GAP_MICROS = 10_000;

  private final Map<RunRef, Long> sentAt = new LinkedHashMap<>();
  private final Set<RunRef> silent = new HashSet<>();
  private final boolean adaptive;
  private int limit = MIN_LIMIT;
  private long fastestReplyMicros = Long.MAX_VALUE;
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

  /** Returns the number of silent orders: unanswered ones that were overtaken. */
  int silentCount() {
    return silent.size();
  }

  void orderSent(RunRef run, long now) {
    sentAt.put(run, now);
  }

  /** Returns the maximum number of unanswered orders, not counting the silent ones. */
  int limit() {
    return limit;
  }

  /** Records the reply to an order. */
  void orderAnswered(RunRef run, long now) {
    boolean wasFull = sentAt.size() >= limit;
    Long orderSentAt = sentAt.remove(run);
    silent.remove(run);
    if (orderSentAt != null) {
      markSilent(orderSentAt - OVERTAKING_GAP_MICROS);
      if (adaptive) {
        adapt(orderSentAt, wasFull, now);
      }
    }
  }

  /**
   * Widens the window by one for each prompt reply while it is full; halves it for a late reply,
   * unless the order was sent before the last halving.
   */
  private void adapt(long orderSentAt, boolean wasFull, long now) {
    long replyMicros = now - orderSentAt;
    fastestReplyMicros = Math.min(fastestReplyMicros, replyMicros);
    if (replyMicros
        <= Math.min(MAX_PROMPT_MICROS, PROMPT_FACTOR * fastestReplyMicros + PROMPT_MARGIN_MICROS)) {
      limit = wasFull ? Math.min(MAX_LIMIT, limit + 1) : limit;
    } else if (orderSentAt > narrowedAt) {
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
