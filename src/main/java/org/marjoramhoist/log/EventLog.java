package org.marjoramhoist.log;

import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.Locale;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.ParameterizedMessage;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes numbered log events.
 *
 * <p>Safe for use by several threads.
 */
public final class EventLog {

  private static final Logger LOGGER = LogManager.getLogger(Logging.LOGGER);

  /** The most lines of one event that clients cause, in a second, unless it is set. */
  public static final int DEFAULT_LINES_PER_SECOND = 100;

  private static final LineLimit LIMIT = new LineLimit(DEFAULT_LINES_PER_SECOND);

  /** UTC with milliseconds; needs no locale, whose data take long to load. */
  private static final DateTimeFormatter TIME =
      new DateTimeFormatterBuilder().appendInstant(3).toFormatter(Locale.ROOT);

  private EventLog() {}

  /** Writes an event of ordinary running. */
  public static void info(LogEvent event, String pattern, Object... fields) {
    write(Level.INFO, event, pattern, fields);
  }

  /** Writes an event that an operator may have to look at. */
  public static void warn(LogEvent event, String pattern, Object... fields) {
    write(Level.WARN, event, pattern, fields);
  }

  /** Writes an event for the search for faults. */
  public static void debug(LogEvent event, String pattern, Object... fields) {
    write(Level.DEBUG, event, pattern, fields);
  }

  /** Writes a fault of the program with its stack. */
  public static void fault(String what, Throwable error) {
    LOGGER.error(messageOf(LogEvent.INTERNAL_FAULT, what + " " + error), error);
  }

  private static void write(Level level, LogEvent event, String pattern, Object... fields) {
    if (!LOGGER.isEnabled(level)) {
      return;
    }
    long leftOut = event.isAtEachRequest() ? LIMIT.admit(event, System.nanoTime()) : 0;
    if (leftOut >= 0) {
      String detail = new ParameterizedMessage(pattern, fields).getFormattedMessage();
      String suffix = leftOut == 0 ? "" : " leftOut=" + leftOut;
      LOGGER.log(level, messageOf(event, detail + suffix));
    }
  }

  /**
   * Bounds the lines of each event that clients cause.
   *
   * @param lines the most lines of an event in a second
   */
  public static void setLinesPerSecond(int lines) {
    LIMIT.setLinesPerSecond(lines);
  }

  /** Returns how many lines were left out for that bound. */
  public static long leftOutLines() {
    return LIMIT.leftOut();
  }

  private static StringMapMessage messageOf(LogEvent event, String detail) {
    return new StringMapMessage()
        .with("time", TIME.format(Instant.now()))
        .with("code", event.code())
        .with("event", event.name())
        .with("detail", detail);
  }
}
