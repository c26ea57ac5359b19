package org.marjoramhoist.log;

import java.util.Locale;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LifeCycle;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.impl.Log4jContextFactory;

/**
 * Sets up Log4j: events go to standard error, as text or as JSON lines, up to the end of the
 * process.
 *
 * <p>Stateless; to be called once at the start of the process.
 */
public final class Logging {

  private static final String TIME = "%K{time}";
  private static final String TEXT_PATTERN = TIME + " %-5p E%K{code} %K{event} %K{detail}%n%ex";
  private static final String JSON_PATTERN =
      "{\"time\":\""
          + TIME
          + "\",\"level\":\"%p\",\"code\":%K{code},\"event\":\"%K{event}\","
          + "\"detail\":\"%enc{%K{detail}}{JSON}\",\"exception\":\"%enc{%ex}{JSON}\"}%n";

  private static final String LIBRARY_TEXT_PATTERN =
      "%d{UNIX_MILLIS} %-5p E" + LogEvent.INTERNAL_FAULT.code() + " %c %m%n%ex";
  private static final String LIBRARY_JSON_PATTERN =
      "{\"unixMillis\":%d{UNIX_MILLIS},\"level\":\"%p\",\"code\":"
          + LogEvent.INTERNAL_FAULT.code()
          + ",\"event\":\""
          + LogEvent.INTERNAL_FAULT
          + "\",\"detail\":\"%enc{%c %m}{JSON}\",\"exception\":\"%enc{%ex}{JSON}\"}%n";

  /** The name of the one logger. */
  static final String LOGGER = "marjoramhoist";

  /** Where log events go. */
  public enum Target {
    /** Standard error; the writer waits until the line is out. */
    STANDARD_ERROR,
    /** Standard output, over a bounded queue; events are dropped while it is full. */
    STANDARD_OUTPUT_QUEUED
  }

  private Logging() {}

  /**
   * Sets the form and level of log events.
   *
   * @param format {@code text} or {@code json}
   * @param level the least level
   */
  public static void configure(String format, String level) {
    configure(format, level, Target.STANDARD_ERROR);
  }

  /**
   * Sets the form, level and target of log events.
   *
   * @param format {@code text} or {@code json}
   * @param level the least level
   * @param target where they go
   */
  public static void configure(String format, String level, Target target) {
    boolean queued = target == Target.STANDARD_OUTPUT_QUEUED;
    boolean json = format.equals("json");
    Level least = Level.valueOf(level.toUpperCase(Locale.ROOT));
    use(
        new ConsoleConfiguration(
            least,
            json ? JSON_PATTERN : TEXT_PATTERN,
            json ? LIBRARY_JSON_PATTERN : LIBRARY_TEXT_PATTERN,
            queued));
    keepUntilTheEnd();
  }

  /**
   * Puts a configuration in force: the first one by starting with it, as looking for a default one
   * takes a good part of the time that a process needs to start.
   */
  private static void use(Configuration configuration) {
    LoggerContext context = Configurator.initialize(configuration);
    if (context.getConfiguration() != configuration) {
      Configurator.reconfigure(configuration);
    }
  }

  /** Writes what is queued; nothing is logged after that. */
  public static void finish() {
    LogManager.shutdown();
  }

  /** Removes the hook that stops logging at the start of a shutdown, which itself is logged. */
  private static void keepUntilTheEnd() {
    if (LogManager.getFactory() instanceof Log4jContextFactory factory
        && factory.getShutdownCallbackRegistry() instanceof LifeCycle hook) {
      hook.stop();
    }
  }
}
