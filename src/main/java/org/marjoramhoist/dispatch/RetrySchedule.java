package org.marjoramhoist.dispatch;

import org.marjoramhoist.job.JobId;

/**
 * Determines when refused callers may retry: once the waiting work and the retries scheduled before
 * them have been served, at the rate at which waiting work is started.
 *
 * <p>Retries are booked in a ring of time slots. Work is in thousandths of a core times
 * microseconds. Invariant: no retry is booked in a full slot while a slot before the maximum retry
 * time has free capacity. Confined to one thread.
 */
final class RetrySchedule {

  /** The minimum delay returned to a refused caller. */
  static final long MIN_RETRY_MILLIS = 1_000;

  /** The maximum delay returned to a refused caller. */
  static final long MAX_RETRY_MILLIS = 20_000;

  /** The minimum interval over which retries of callers refused by entry hosts are spread. */
  private static final long MIN_SPREAD_MILLIS = 2_000;

  private static final long MICROS_PER_MILLI = 1_000;
  private static final int SLOT_MILLIS = 250;
  private static final long SLOT_MICROS = SLOT_MILLIS * MICROS_PER_MILLI;
  private static final int SLOTS = (int) (MAX_RETRY_MILLIS / SLOT_MILLIS);

  /** The time constant of the average start rate. */
  private static final double RATE_TIME_CONSTANT_MICROS = 2_000_000;

  /**
   * The minimum start rate as a fraction of the capacity. Keeps the expected wait finite while no
   * work is started.
   */
  private static final double MIN_RATE_SHARE = 0.01;

  private final double[] booked = new double[SLOTS];

  /**
   * The index of the current slot, counted from time 0. The ring holds this slot and the following
   * ones.
   */
  private long currentSlot;

  /** The work started per microsecond while work was waiting; 0 if unknown. */
  private double startRate;

  private double waitingWork;
  private double startedWork;
  private long recordedAt;

  /** Records that work was started. */
  void recordStarted(double work) {
    startedWork += work;
  }

  /**
   * Records the current backlog. Must be called at short intervals.
   *
   * @param backlogWork the waiting work
   * @param cpuMillis the capacity of the schedulable workers, in thousandths of a core
   */
  void recordBacklog(double backlogWork, double cpuMillis, long now) {
    long elapsedMicros = now - recordedAt;
    if (startRate == 0) {
      startRate = cpuMillis;
    } else if (waitingWork > 0 && elapsedMicros > 0) {
      // Without waiting work, the start rate is limited by demand, not by capacity.
      startRate +=
          -Math.expm1(-elapsedMicros / RATE_TIME_CONSTANT_MICROS)
              * (startedWork / elapsedMicros - startRate);
    }
    startRate = Math.max(startRate, MIN_RATE_SHARE * cpuMillis);
    waitingWork = backlogWork;
    startedWork = 0;
    recordedAt = now;
  }

  /**
   * Records that some of the work in the last recorded backlog was dropped without being started.
   */
  void recordDropped(double work) {
    waitingWork = Math.max(0, waitingWork - work);
  }

  /**
   * Returns the delay after which a refused caller may retry, in milliseconds, and books the retry.
   */
  long retryAfterMillis(JobId id, double work, long now) {
    int hash = id.hashCode();
    if (startRate == 0) {
      return MIN_SPREAD_MILLIS + Math.floorMod(hash, MIN_SPREAD_MILLIS);
    }
    advance(now);
    long slot = firstFreeSlot(now);
    if (slot > lastSlot()) {
      long first = Math.min(lastSlot(), slotAfter(now + MIN_RETRY_MILLIS * MICROS_PER_MILLI));
      slot = first + Math.floorMod(hash / SLOT_MILLIS, lastSlot() - first + 1);
    }
    book(slot, work);
    long offset = Math.floorMod(hash, SLOT_MILLIS);
    long retryAtMillis = slot * SLOT_MILLIS + offset;
    return Math.max(MIN_RETRY_MILLIS, retryAtMillis - now / MICROS_PER_MILLI);
  }

  /**
   * Returns the forecast for jobs that entry hosts refuse themselves.
   *
   * @param admittedShare the share of new jobs that entry hosts admit
   */
  RetryForecast forecast(double admittedShare, long now) {
    if (startRate == 0) {
      return RetryForecast.NONE;
    }
    advance(now);
    long waitMillis = firstFreeSlot(now) * SLOT_MILLIS - now / MICROS_PER_MILLI;
    // The lower the admitted share, the more callers are refused by entry hosts. Their retries
    // are not booked.
    long spreadMillis = (long) (MIN_SPREAD_MILLIS / Math.max(admittedShare, Double.MIN_NORMAL));
    return new RetryForecast(
        clamp(waitMillis, MIN_RETRY_MILLIS), clamp(spreadMillis, MIN_SPREAD_MILLIS));
  }

  private static long clamp(long millis, long minimum) {
    return Math.max(minimum, Math.min(MAX_RETRY_MILLIS, millis));
  }

  /** Clears the slots that have passed. */
  private void advance(long now) {
    long newSlot = now / SLOT_MICROS;
    for (long passedSlot = Math.max(currentSlot, newSlot - SLOTS);
        passedSlot < newSlot;
        passedSlot++) {
      booked[index(passedSlot)] = 0;
    }
    currentSlot = newSlot;
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

  /**
   * Returns the first slot with free capacity after the waiting work has been started; the slot
   * after the last one if all are full.
   */
  private long firstFreeSlot(long now) {
    double waitMicros = Math.min(MAX_RETRY_MILLIS * MICROS_PER_MILLI, waitingWork / startRate);
    long slot = slotAfter(now + Math.max(MIN_RETRY_MILLIS * MICROS_PER_MILLI, (long) waitMicros));
    while (slot <= lastSlot() && booked[index(slot)] >= slotCapacity()) {
      slot++;
    }
    return Math.min(slot, lastSlot() + 1);
  }

  /**
   * Books work starting at the given slot. Work that exceeds the capacity of a slot is carried over
   * to the next ones.
   */
  private void book(long firstSlot, double work) {
    double remaining = work;
    for (long slot = firstSlot; slot < lastSlot() && remaining > 0; slot++) {
      double share = Math.max(0, Math.min(remaining, slotCapacity() - booked[index(slot)]));
      booked[index(slot)] += share;
      remaining -= share;
    }
    booked[index(lastSlot())] += remaining;
  }
}
