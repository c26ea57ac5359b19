package org.marjoramhoist.dispatch;

import java.util.Collection;

/**
 * How the workers of a rack or a failure domain have answered calls since one of them was lost.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param known the number of known workers
 * @param lost the number of workers whose calls have failed since then and fail still
 * @param heard the number of workers that have answered since then
 */
record GroupContacts(int known, int lost, int heard) {

  /** The calls to workers that are lost together begin to fail within this time. */
  private static final long SAME_TIME_MICROS = 300_000;

  /**
   * Counts the workers of a group.
   *
   * @param lostAt when the calls to the lost worker began to fail
   */
  static GroupContacts since(long lostAt, Collection<Worker> group) {
    int lost = 0;
    int heard = 0;
    for (Worker each : group) {
      boolean isLost = each.isFailing() && each.failingSince() >= lostAt - SAME_TIME_MICROS;
      lost += isLost ? 1 : 0;
      heard += !each.isFailing() && each.lastHeardAt() > lostAt ? 1 : 0;
    }
    return new GroupContacts(group.size(), lost, heard);
  }

  @Override
  public String toString() {
    return "known=" + known + " lost=" + lost + " heard=" + heard;
  }
}
