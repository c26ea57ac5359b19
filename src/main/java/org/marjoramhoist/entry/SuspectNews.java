package org.marjoramhoist.entry;

import java.util.List;
import org.marjoramhoist.dispatch.SuspectTask;

/**
 * Decides when a leader's heartbeat carries the tasks that may have crashed workers: when they have
 * changed, and again after a while for hosts that missed them.
 *
 * <p>Confined to the event loop's thread.
 */
final class SuspectNews {

  private static final long REPEAT_MICROS = 1_000_000;

  private List<SuspectTask> told = List.of();
  private long toldAt;

  /** Returns the tasks to tell now; null if that is not due. */
  List<SuspectTask> due(List<SuspectTask> current, long now) {
    boolean isChanged = !current.equals(told);
    boolean isRepeatDue = !current.isEmpty() && now - toldAt > REPEAT_MICROS;
    if (!isChanged && !isRepeatDue) {
      return null;
    }
    told = current;
    toldAt = now;
    return current;
  }
}
