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
  static final long MIN_RETRY_MILLIS = 1_000;

  /** The greatest time that a refused caller is told. */
  static final long MAX_RETRY_MILLIS = 20_000;

  /** The least time over which the returns of callers refused by hosts are spread. */
  private static final long MIN_SPREAD_MILLIS = 2_000;

  private static final long MICROS_PER_MILLI = 1_000;
  private static final int SLOT_MILLIS = 250;
  private static final long SLOT_MICROS = SLOT_MILLIS * MICROS_PER_MILLI;
  private static final int SLOTS = (int) (MAX_RETRY_MILLIS / SLOT_MILLIS);

  /** The time over which the rate is averaged. */
  private static final double RATE_TIME_CONSTANT_MICROS = 2_000_000;

  /** Keeps the expected time finite while nothing is started. */
  private static final double MIN_RATE_SHARE = 0.01;

  private final double[] booked = new double[SLOTS];

  /** The present slot, counted from time 0; the ring holds it and those after it. */
  private long currentSlot;

  /** Work started in a microsecond while some waited; 0 if that is not known. */
  private double startRate;

  private double waitingWork;
  private double startedWork;
  private long measuredAt;

  /** Takes in that work was started. */
  void recordStarted(double work) {
    startedWork += work;
  }

  /**
   * Takes in what waits now; to be called at short intervals.
   *
   * @param backlogWork the work that waits
   * @param cpuMillis what the usable workers have, in thousandths of a core
   */
  void recordBacklog(double backlogWork, double cpuMillis, long now) {
    long micros = now - measuredAt;
    if (startRate == 0) {
      startRate = cpuMillis;
    } else if (waitingWork > 0 && micros > 0) {
      // While nothing waits, what is started only tells what is asked for.
      startRate +=
          -Math.expm1(-micros / RATE_TIME_CONSTANT_MICROS) * (startedWork / micros - startRate);
    }
    startRate = Math.max(startRate, MIN_RATE_SHARE * cpuMillis);
    waitingWork = backlogWork;
    startedWork = 0;
    measuredAt = now;
  }

  /** Takes in that some of the work measured last no longer waits though it was not started. */
  void recordDropped(double work) {
    waitingWork = Math.max(0, waitingWork - work);
  }

  /** Returns when a refused caller may come back, in milliseconds, and books its return. */
  long retryAfterMillis(JobId id, double work, long now) {
    int spread = id.hashCode();
    if (startRate == 0) {
      return MIN_SPREAD_MILLIS + Math.floorMod(spread, MIN_SPREAD_MILLIS);
    }
    advance(now);
    long chosen = firstFreeSlot(now);
    if (chosen > lastSlot()) {
      long first = Math.min(lastSlot(), slotAfter(now + MIN_RETRY_MILLIS * MICROS_PER_MILLI));
      chosen = first + Math.floorMod(spread / SLOT_MILLIS, lastSlot() - first + 1);
    }
    book(chosen, work);
    long offset = Math.floorMod(spread, SLOT_MILLIS);
    long at = chosen * SLOT_MILLIS + offset;
    return Math.max(MIN_RETRY_MILLIS, at - now / MICROS_PER_MILLI);
  }

  /**
   * Returns the forecast for the jobs that hosts refuse themselves.
   *
   * @param intake the share of their new jobs that they send on
   */
  RetryForecast forecast(double intake, long now) {
    if (startRate == 0) {
      return RetryForecast.NONE;
    }
    advance(now);
    long room = firstFreeSlot(now) * SLOT_MILLIS - now / MICROS_PER_MILLI;
    // The less is sent on, the more callers are refused by hosts, whose returns are not booked.
    long spread = (long) (MIN_SPREAD_MILLIS / Math.max(intake, Double.MIN_NORMAL));
    return new RetryForecast(clamp(room, MIN_RETRY_MILLIS), clamp(spread, MIN_SPREAD_MILLIS));
  }

  private static long clamp(long millis, long least) {
    return Math.max(least, Math.min(MAX_RETRY_MILLIS, millis));
  }

  /** Empties the slots that have passed. */
  private void advance(long now) {
    long present = now / SLOT_MICROS;
    for (long passed = Math.max(currentSlot, present - SLOTS); passed < present; passed++) {
      booked[index(passed)] = 0;
    }
    currentSlot = present;
  }

  private static int index(long slot) {
    return Math.floorMod(slot, SLOTS);
  }

  private long lastSlot() {
    return currentSlot + SLOTS - 1;
  }

  private static long slotAfter(long micros) {
    return micros / SLOT_MICROS + 1;
  }

  private double slotCapacity() {
    return startRate * SLOT_MICROS;
  }

  /** Returns the first slot after what waits that has room; one after the last if none has. */
  private long firstFreeSlot(long now) {
    double wait = Math.min(MAX_RETRY_MILLIS * MICROS_PER_MILLI, waitingWork / startRate);
    long first = slotAfter(now + Math.max(MIN_RETRY_MILLIS * MICROS_PER_MILLI, (long) wait));
    while (first <= lastSlot() && booked[index(first)] >= slotCapacity()) {
      first++;
    }
    return Math.min(first, lastSlot() + 1);
  }

  /** Books work from a slot on; what a slot has no room for goes on to the next ones. */
  private void book(long from, double work) {
    double left = work;
    for (long each = from; each < lastSlot() && left > 0; each++) {
      double taken = Math.max(0, Math.min(left, slotCapacity() - booked[index(each)]));
      booked[index(each)] += taken;
      left -= taken;
    }
    booked[index(lastSlot())] += left;
  }
}
