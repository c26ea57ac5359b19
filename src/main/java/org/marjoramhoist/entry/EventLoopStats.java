package org.marjoramhoist.entry;

/**
 * Measures how busy the decisions keep a loop, and how late its ticks come.
 *
 * <p>Confined to one thread.
 */
final class EventLoopStats {

  private int steps;
  private long stepMicros;
  private long longestStepMicros;
  private long tickLateMicros;
  private long tickDueAt;

  /**
   * The load since the last sample.
   *
   * @param steps in how many turns of the loop events were decided on
   * @param stepMicros how long that and carrying the decisions out took
   * @param longestStepMicros the longest of these
   * @param tickLateMicros how much later than due the latest tick came
   */
  record Sample(int steps, long stepMicros, long longestStepMicros, long tickLateMicros) {}

  /** Takes in that the events of a turn were decided on, and the decisions carried out. */
  void recordStep(long micros) {
    steps++;
    stepMicros += micros;
    longestStepMicros = Math.max(longestStepMicros, micros);
  }

  /**
   * Takes in a tick.
   *
   * @param now the present time in microseconds
   * @param nextDueAt when the next tick is due
   */
  void recordTick(long now, long nextDueAt) {
    if (tickDueAt != 0) {
      tickLateMicros = Math.max(tickLateMicros, now - tickDueAt);
    }
    tickDueAt = nextDueAt;
  }

  /** Returns the load since the last call. */
  Sample takeSample() {
    final Sample sample = new Sample(steps, stepMicros, longestStepMicros, tickLateMicros);
    steps = 0;
    stepMicros = 0;
    longestStepMicros = 0;
    tickLateMicros = 0;
    return sample;
  }
}
