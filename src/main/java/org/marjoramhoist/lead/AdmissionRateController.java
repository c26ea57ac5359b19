package org.marjoramhoist.lead;

/**
 * What share of the new jobs a leader's hosts send on to it, so that a leader that is asked for
 * more than its processor carries completes what it can.
 *
 * <p>A job costs the leader time even if it is refused, so hosts refuse the rest themselves. The
 * measure is how late the leader reads the answers of its workers: milliseconds as a rule, and more
 * than any of them takes once its processor is full. The share falls by a part of itself and rises
 * in small steps, so leaders find what they carry without knowing it. Confined to one thread.
 */
public final class AdmissionRateController {

  /** A delay that no leader has whose processor is not full. */
  private static final long OVERLOAD_DELAY_MICROS = 40_000;

  /** A delay at which there is time for more. */
  private static final long SPARE_CAPACITY_DELAY_MICROS = 20_000;

  /**
   * For how many intervals on end the processor must be full before the share falls: a process that
   * has just started is slow for a second, and then carries all it is asked for.
   */
  private static final int OVERLOAD_INTERVALS = 15;

  private static final double DECREASE_FACTOR = 0.8;
  private static final double INCREASE_STEP = 0.04;
  private static final double MIN_SHARE = 0.05;

  private double share = 1;
  private int overloadedIntervals;

  /**
   * Takes in how late answers are read at present; to be called at even intervals.
   *
   * @param delayMicros the mean delay
   * @return the share of the new jobs to be sent on, from 0 to 1
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
