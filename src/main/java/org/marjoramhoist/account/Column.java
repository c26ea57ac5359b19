package org.marjoramhoist.account;

import java.util.Locale;
import org.marjoramhoist.decision.AccountEntry;

/** A column by which a report can be grouped. */
public enum Column {
  /** The team. */
  TEAM,
  /** The class of request. */
  CLASS,
  /** Who submitted the job. */
  CALLER,
  /** The submission. */
  SUBMISSION,
  /** The worker. */
  WORKER,
  /** What became of it. */
  OUTCOME,
  /** The day, in UTC. */
  DAY;

  private static final long MICROS_PER_DAY = 86_400_000_000L;

  /** Returns the name used in commands. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the column of a name used in commands.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static Column of(String label) {
    for (Column column : values()) {
      if (column.label().equals(label)) {
        return column;
      }
    }
    throw new IllegalArgumentException(
        "no such column: " + label + "; use team, class, caller, submission, worker, outcome, day");
  }

  String of(AccountEntry row) {
    return switch (this) {
      case TEAM -> row.team().value();
      case CLASS -> row.classId().value();
      case CALLER -> row.caller();
      case SUBMISSION -> row.submission().value();
      case WORKER -> row.worker();
      case OUTCOME -> row.outcome();
      case DAY -> java.time.LocalDate.ofEpochDay(row.end() / MICROS_PER_DAY).toString();
    };
  }
}
