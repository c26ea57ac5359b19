package org.marjoramhoist.job;

/**
 * The number of a submission: of one message in which an entry host submits a job to a leader. Each
 * repeated submission of a job has a number of its own.
 *
 * <p>Invariant: a host uses each number once, also across restarts. Immutable and safe for use by
 * several threads.
 *
 * @param value the number; 0 if there is none
 */
public record SubmissionNumber(long value) {

  /** The number of submissions of hosts of an earlier version, which don't number them. */
  public static final SubmissionNumber NONE = new SubmissionNumber(0);

  @Override
  public String toString() {
    return Long.toString(value);
  }

  // Explicit implementations: linking the generated record methods adds milliseconds to startup.

  @Override
  public boolean equals(Object other) {
    return other instanceof SubmissionNumber that && value == that.value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
