package org.marjoramhoist.entry;

/**
 * Lets through the share of the new jobs that the leader can take, spread evenly.
 *
 * <p>Confined to the loop's thread.
 */
final class IntakeGate {

  private double share = 1;
  private double credit;

  /** Takes in the share, from 0 to 1. */
  void setShare(double next) {
    share = next;
  }

  /** Tells whether one more job may go through. */
  boolean admits() {
    if (share >= 1) {
      credit = 0;
      return true;
    }
    credit += share;
    if (credit < 1) {
      return false;
    }
    credit -= 1;
    return true;
  }
}
