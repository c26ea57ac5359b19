package org.marjoramhoist.decision;

/**
 * Decides how much work a worker is trusted with, from what became of its attempts.
 *
 * <p>A worker that fails what it is given is ejected; after a time it is tried with one attempt,
 * and each success doubles what it may hold until it has all its slots. Confined to one thread.
 */
final class WorkerHealth {

  private static final int FAILURES_TO_EJECT = 3;
  private static final double RATE_GAIN = 0.1;
  private static final double RATE_TO_EJECT = 0.5;
  private static final long FIRST_EJECTION = Policy.MICROS_PER_SECOND;
  private static final long LONGEST_EJECTION = 30 * Policy.MICROS_PER_SECOND;

  /** How a worker is treated. */
  enum State {
    /** It may use all its slots. */
    HEALTHY,
    /** It gets nothing until the ejection ends. */
    EJECTED,
    /** It is tried with a few attempts. */
    PROBATION
  }

  private State state = State.HEALTHY;
  private int failuresInRow;
  private double failureRate;
  private long ejectedUntil;
  private long nextEjection = FIRST_EJECTION;
  private int trial;

  State state() {
    return state;
  }

  /** Returns how many attempts the worker may hold at once. */
  int limit(long now, int slots) {
    if (state == State.EJECTED) {
      if (now < ejectedUntil) {
        return 0;
      }
      state = State.PROBATION;
      trial = 1;
    }
    return state == State.HEALTHY ? slots : Math.min(slots, trial);
  }

  /** Returns when the ejection ends, in microseconds since the epoch. */
  long ejectedUntil() {
    return ejectedUntil;
  }

  void succeeded(int slots) {
    failuresInRow = 0;
    failureRate -= RATE_GAIN * failureRate;
    if (state != State.PROBATION) {
      return;
    }
    trial *= 2;
    if (trial >= slots) {
      state = State.HEALTHY;
      failureRate = 0;
      nextEjection = FIRST_EJECTION;
    }
  }

  /**
   * Takes in a failure.
   *
   * @param mayEject whether one more worker may be ejected; if not, it is only held to one attempt
   * @return whether the worker has just been ejected
   */
  boolean failed(long now, boolean mayEject) {
    failuresInRow++;
    failureRate += RATE_GAIN * (1 - failureRate);
    boolean bad = failuresInRow >= FAILURES_TO_EJECT || failureRate > RATE_TO_EJECT;
    if (state == State.EJECTED || (state == State.HEALTHY && !bad)) {
      return false;
    }
    if (!mayEject) {
      state = State.PROBATION;
      trial = 1;
      return false;
    }
    state = State.EJECTED;
    ejectedUntil = now + nextEjection;
    nextEjection = Math.min(LONGEST_EJECTION, nextEjection * 2);
    return true;
  }

  /** Takes in that another host has ejected the worker: it is held to one attempt. */
  void warned() {
    if (state == State.HEALTHY) {
      state = State.PROBATION;
      trial = 1;
    }
  }
}
