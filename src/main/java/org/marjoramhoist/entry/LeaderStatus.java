package org.marjoramhoist.entry;

import org.marjoramhoist.dispatch.DispatchSnapshot;

/**
 * How a leader fares: what its decisions know, and whether its loop keeps up.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param dispatch what its decisions know
 * @param mayOrder whether it may order anything
 * @param queuedEvents how many events wait to be decided on
 * @param load what its loop has done since the last status
 */
record LeaderStatus(
    DispatchSnapshot dispatch, boolean mayOrder, int queuedEvents, EventLoopStats.Sample load) {

  /** The status of a host that does not lead. */
  static final LeaderStatus NONE =
      new LeaderStatus(DispatchSnapshot.NONE, false, 0, new EventLoopStats.Sample(0, 0, 0, 0));

  @Override
  public String toString() {
    return dispatch
        + " mayOrder="
        + mayOrder
        + " queued="
        + queuedEvents
        + " steps="
        + load.steps()
        + " stepMicros="
        + load.stepMicros()
        + " longestStepMicros="
        + load.longestStepMicros()
        + " tickLateMicros="
        + load.tickLateMicros();
  }
}
