package org.marjoramhoist.entry;

/**
 * Measures how much time an event loop spends on dispatch steps, and how late its ticks run.
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
   * The measurements since the last sample.
   *
   * @param steps the number of dispatch steps
   * @param stepMicros the total duration of the steps, including the execution of their actions
   * @param longestStepMicros the duration of the longest step
   * @param tickLateMicros the longest delay of a tick beyond its due time
   */
  record Sample(int steps, long stepMicros, long longestStepMicros, long tickLateMicros) {}

  /** Records a dispatch step, including the execution of its actions. */
  void recordStep(long micros) {
    steps++;
    stepMicros += micros;
    longestStepMicros = Math.max(longestStepMicros, micros);
  }

  /**
   * Records a tick.
   *
   * @param now the current time in microseconds
   * @param nextDueAt when the next tick is due
   */
  void recordTick(long now, long nextDueAt) {
    if (tickDueAt != 0) {
      tickLateMicros = Math.max(tickLateMicros, now - tickDueAt);
    }
    tickDueAt = nextDueAt;
  }

  /** Returns the measurements since the last call and resets them. */
  Sample takeSample() {
    final Sample sample = new Sample(steps, stepMicros, longestStepMicros, tickLateMicros);
    steps = 0;
    stepMicros = 0;
    longestStepMicros = 0;
    tickLateMicros = 0;
    return sample;
  }
}
