package org.marjoramhoist.entry;

import org.marjoramhoist.dispatch.DispatchSnapshot;

/**
 * The status of a leader: the state of its dispatcher, and whether its event loop keeps up.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param dispatch the state of its dispatcher
 * @param mayOrder whether it may send orders to workers
 * @param queuedEvents the number of events that wait to be handled
 * @param load the load of its event loop since the last status
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
