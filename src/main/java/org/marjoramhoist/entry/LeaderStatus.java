package org.marjoramhoist.entry;

import org.marjoramhoist.dispatch.DispatchSnapshot;

/**
 * How a leader fares: what its decisions know, and whether its loop keeps up.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param decisions what its decisions know
 * @param mayOrder whether it may order anything
 * @param queuedEvents how many events wait to be decided on
 * @param load what its loop has done since the last status
 */
record LeaderStatus(
    DispatchSnapshot decisions, boolean mayOrder, int queuedEvents, LoopLoad.Sample load) {

  /** The status of a host that does not lead. */
  static final LeaderStatus NONE =
      new LeaderStatus(DispatchSnapshot.NONE, false, 0, new LoopLoad.Sample(0, 0, 0, 0));

  @Override
  public String toString() {
    return decisions
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
