package org.marjoramhoist.lead;

/**
 * Controls the share of new jobs that hosts forward to the leader, so that an overloaded leader
 * still completes as many jobs as it can.
 *
 * <p>Even a refused job costs the leader processor time, so hosts refuse the remaining jobs
 * themselves. The input is the delay with which the leader reads its workers' answers: usually a
 * few milliseconds, but longer than any worker takes once the leader's processor is saturated. The
 * share decreases by a factor and increases in small steps, so it converges to the leader's
 * capacity without knowing it. Confined to one thread.
 */
public final class AdmissionRateController {

  /** A delay that occurs only while the leader's processor is saturated. */
  private static final long OVERLOAD_DELAY_MICROS = 40_000;

  /** A delay below which the leader has capacity to spare. */
  private static final long SPARE_CAPACITY_DELAY_MICROS = 20_000;

  /**
   * The number of consecutive overloaded intervals before the share decreases from 1. A process
   * that has just started is slow for about a second without being overloaded.
   */
  private static final int OVERLOAD_INTERVALS = 15;

  private static final double DECREASE_FACTOR = 0.8;
  private static final double INCREASE_STEP = 0.04;
  private static final double MIN_SHARE = 0.05;

  private double share = 1;
  private int overloadedIntervals;

  /**
   * Updates the share. Must be called at regular intervals.
   *
   * @param delayMicros the current mean delay with which answers are read
   * @return the share of new jobs to forward, from 0 to 1
   */
  public double update(double delayMicros) {
    overloadedIntervals = delayMicros > OVERLOAD_DELAY_MICROS ? overloadedIntervals + 1 : 0;
    if (overloadedIntervals >= OVERLOAD_INTERVALS || overloadedIntervals > 0 && share < 1) {
      share = Math.max(MIN_SHARE, share * DECREASE_FACTOR);
    } else if (delayMicros < SPARE_CAPACITY_DELAY_MICROS) {
      share = Math.min(1, share + INCREASE_STEP);
    }
    return share;
  }
}
