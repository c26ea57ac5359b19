package org.marjoramhoist.dispatch;

import org.marjoramhoist.job.JobId;

/**
 * When refused callers may come back: once what waits and what was told to come back before them
 * has found room, at the rate at which waiting work is started.
 *
 * <p>Returns are booked in a ring of time slots. Work is in thousandths of a core times
 * microseconds. Invariant: while a slot before the greatest time has room, no return is booked in
 * one that has none. Confined to one thread.
 */
final class RetrySchedule {

  /** The least time that a refused caller is told. */
  static final long LEAST_MILLIS = 1_000;

  /** The greatest time that a refused caller is told. */
  static final long GREATEST_MILLIS = 20_000;

  /** The least time over which the returns of callers refused by hosts are spread. */
  private static final long LEAST_SPREAD_MILLIS = 2_000;

  private static final long MICROS_PER_MILLI = 1_000;
  private static final int SLOT_MILLIS = 250;
  private static final long SLOT_MICROS = SLOT_MILLIS * MICROS_PER_MILLI;
  private static final int SLOTS = (int) (GREATEST_MILLIS / SLOT_MILLIS);

  /** The time over which the rate is averaged. */
  private static final double RATE_MICROS = 2_000_000;

  /** Keeps the expected time finite while nothing is started. */
  private static final double LEAST_SHARE_OF_CAPACITY = 0.01;

  private final double[] booked = new double[SLOTS];

  /** The present slot, counted from time 0; the ring holds it and those after it. */
  private long slot;

  /** Work started in a microsecond while some waited; 0 if that is not known. */
  private double rate;

  private double waiting;
  private double started;
  private long measuredAt;

  /** Takes in that work was started. */
  void recordStarted(double work) {
    started += work;
  }

  /**
   * Takes in what waits now; to be called at short intervals.
   *
   * @param waitingWork the work that waits
   * @param cpuMillis what the usable workers have, in thousandths of a core
   */
  void recordBacklog(double waitingWork, double cpuMillis, long now) {
    long micros = now - measuredAt;
    if (rate == 0) {
      rate = cpuMillis;
    } else if (waiting > 0 && micros > 0) {
      // While nothing waits, what is started only tells what is asked for.
      rate += -Math.expm1(-micros / RATE_MICROS) * (started / micros - rate);
    }
    rate = Math.max(rate, LEAST_SHARE_OF_CAPACITY * cpuMillis);
    waiting = waitingWork;
    started = 0;
    measuredAt = now;
  }

  /** Takes in that some of the work measured last no longer waits though it was not started. */
  void recordDropped(double work) {
    waiting = Math.max(0, waiting - work);
  }

  /** Returns when a refused caller may come back, in milliseconds, and books its return. */
  long retryAfterMillis(JobId id, double work, long now) {
    int spread = id.hashCode();
    if (rate == 0) {
      return LEAST_SPREAD_MILLIS + Math.floorMod(spread, LEAST_SPREAD_MILLIS);
    }
    advance(now);
    long chosen = firstWithRoom(now);
    if (chosen > lastSlot()) {
      long first = Math.min(lastSlot(), slotAfter(now + LEAST_MILLIS * MICROS_PER_MILLI));
      chosen = first + Math.floorMod(spread / SLOT_MILLIS, lastSlot() - first + 1);
    }
    book(chosen, work);
    long offset = Math.floorMod(spread, SLOT_MILLIS);
    long at = chosen * SLOT_MILLIS + offset;
    return Math.max(LEAST_MILLIS, at - now / MICROS_PER_MILLI);
  }

  /**
   * Returns the forecast for the jobs that hosts refuse themselves.
   *
   * @param intake the share of their new jobs that they send on
   */
  RetryForecast forecast(double intake, long now) {
    if (rate == 0) {
      return RetryForecast.NONE;
    }
    advance(now);
    long room = firstWithRoom(now) * SLOT_MILLIS - now / MICROS_PER_MILLI;
    // The less is sent on, the more callers are refused by hosts, whose returns are not booked.
    long spread = (long) (LEAST_SPREAD_MILLIS / Math.max(intake, Double.MIN_NORMAL));
    return new RetryForecast(clamp(room, LEAST_MILLIS), clamp(spread, LEAST_SPREAD_MILLIS));
  }

  private static long clamp(long millis, long least) {
    return Math.max(least, Math.min(GREATEST_MILLIS, millis));
  }

  /** Empties the slots that have passed. */
  private void advance(long now) {
    long present = now / SLOT_MICROS;
    for (long passed = Math.max(slot, present - SLOTS); passed < present; passed++) {
      booked[index(passed)] = 0;
    }
    slot = present;
  }

  private static int index(long slot) {
    return Math.floorMod(slot, SLOTS);
  }

  private long lastSlot() {
    return slot + SLOTS - 1;
  }

  private static long slotAfter(long micros) {
    return micros / SLOT_MICROS + 1;
  }

  private double roomPerSlot() {
    return rate * SLOT_MICROS;
  }

  /** Returns the first slot after what waits that has room; one after the last if none has. */
  private long firstWithRoom(long now) {
    double wait = Math.min(GREATEST_MILLIS * MICROS_PER_MILLI, waiting / rate);
    long first = slotAfter(now + Math.max(LEAST_MILLIS * MICROS_PER_MILLI, (long) wait));
    while (first <= lastSlot() && booked[index(first)] >= roomPerSlot()) {
      first++;
    }
    return Math.min(first, lastSlot() + 1);
  }

  /** Books work from a slot on; what a slot has no room for goes on to the next ones. */
  private void book(long from, double work) {
    double left = work;
    for (long each = from; each < lastSlot() && left > 0; each++) {
      double taken = Math.max(0, Math.min(left, roomPerSlot() - booked[index(each)]));
      booked[index(each)] += taken;
      left -= taken;
    }
    booked[index(lastSlot())] += left;
  }
}
