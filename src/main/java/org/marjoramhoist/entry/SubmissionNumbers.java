package org.marjoramhoist.entry;

import org.marjoramhoist.job.SubmissionNumber;

/**
 * Numbers what this host sends to leaders.
 *
 * <p>Invariant: numbers rise, and those of a process are above those of earlier processes of the
 * host. Confined to one thread.
 */
final class SubmissionNumbers {

  /** The low bits of a number, which count the messages in each millisecond of the process. */
  private static final int COUNT_BITS = 16;

  private long last;

  /**
   * Creates a source of numbers.
   *
   * @param incarnation the start of the host's process in milliseconds since 1970
   */
  SubmissionNumbers(long incarnation) {
    last = incarnation << COUNT_BITS;
  }

  /** Returns a number that was not returned before. */
  SubmissionNumber next() {
    return new SubmissionNumber(++last);
  }
}
