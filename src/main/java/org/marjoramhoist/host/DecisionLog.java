package org.marjoramhoist.host;

import org.marjoramhoist.log.LogEvent;

/**
 * Tells which events come once a request, and are written only when asked for.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class DecisionLog {

  private DecisionLog() {}

  /** Tells whether the event comes once a request or more often. */
  static boolean isFrequent(LogEvent event) {
    return switch (event) {
      case JOB_ACCEPTED,
          JOB_COMPLETED,
          JOB_REFUSED,
          JOB_FAILED,
          ATTEMPT_REFUSED,
          ATTEMPT_FAILED,
          ATTEMPT_UNKNOWN,
          ACCOUNTS_WRITTEN ->
          true;
      default -> false;
    };
  }
}
