package org.marjoramhoist.dispatch;

import java.util.Collection;

/**
 * How the workers of a rack or a failure domain have answered calls since one of them was lost.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param known the number of known workers
 * @param lost the number of workers whose calls began to fail at about that time and fail still
 * @param heard the number of workers that have answered since then
 */
record GroupContacts(int known, int lost, int heard) {

  private static final int MIN_COMMON_LOSSES = 3;

  /** The calls to workers that are lost together begin to fail within this time. */
  static final long SAME_TIME_MICROS = 300_000;

  /**
   * Counts the workers of a group.
   *
   * @param lostAt when the calls to the lost worker began to fail
   */
  static GroupContacts since(long lostAt, Collection<Worker> group) {
    int lost = 0;
    int heard = 0;
    for (Worker each : group) {
      boolean sameTime = Math.abs(each.failingSince() - lostAt) <= SAME_TIME_MICROS;
      lost += each.isFailing() && sameTime ? 1 : 0;
      heard += !each.isFailing() && each.lastHeardAt() > lostAt ? 1 : 0;
    }
    return new GroupContacts(group.size(), lost, heard);
  }

  /**
   * Tells whether one cause other than a task, such as a cut, probably explains the losses: several
   * workers are lost, and at least as many as have answered.
   */
  boolean haveCommonCause() {
    return lost >= MIN_COMMON_LOSSES && lost >= heard;
  }

  @Override
  public String toString() {
    return "known=" + known + " lost=" + lost + " heard=" + heard;
  }
}
