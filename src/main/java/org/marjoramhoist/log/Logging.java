package org.marjoramhoist.log;

import java.util.Locale;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LifeCycle;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.apache.logging.log4j.core.impl.Log4jContextFactory;

/**
 * Sets up Log4j: events go to standard error, as text or as JSON lines, up to the end of the
 * process.
 *
 * <p>Stateless; to be called once at the start of the process.
 */
public final class Logging {

  private static final String TIME = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{UTC}";
  private static final String TEXT_PATTERN = TIME + " %-5p E%K{code} %K{event} %K{detail}%n%ex";
  private static final String JSON_PATTERN =
      "{\"time\":\""
          + TIME
          + "\",\"level\":\"%p\",\"code\":%K{code},\"event\":\"%K{event}\","
          + "\"detail\":\"%enc{%K{detail}}{JSON}\",\"exception\":\"%enc{%ex}{JSON}\"}%n";
  private static final String APPENDER = "console";
  private static final String QUEUE = "queue";
  private static final int QUEUED_EVENTS = 4_096;

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
    ConfigurationBuilder<BuiltConfiguration> builder =
        ConfigurationBuilderFactory.newConfigurationBuilder();
    builder.setStatusLevel(Level.ERROR);
    builder.setShutdownHook("disable");
    String pattern = format.equals("json") ? JSON_PATTERN : TEXT_PATTERN;
    LayoutComponentBuilder layout =
        builder
            .newLayout("PatternLayout")
            .addAttribute("pattern", pattern)
            .addAttribute("alwaysWriteExceptions", false);
    AppenderComponentBuilder appender =
        builder
            .newAppender(APPENDER, "Console")
            .addAttribute("target", queued ? "SYSTEM_OUT" : "SYSTEM_ERR")
            .addAttribute("follow", true)
            .add(layout);
    builder.add(appender);
    String used = queued ? QUEUE : APPENDER;
    if (queued) {
      builder.add(
          builder
              .newAppender(QUEUE, "Async")
              .addAttribute("bufferSize", QUEUED_EVENTS)
              .addAttribute("blocking", false)
              .addComponent(builder.newAppenderRef(APPENDER)));
    }
    builder.add(
        builder
            .newLogger("marjoramhoist", Level.valueOf(level.toUpperCase(Locale.ROOT)))
            .addAttribute("additivity", false)
            .add(builder.newAppenderRef(used)));
    builder.add(builder.newRootLogger(Level.ERROR).add(builder.newAppenderRef(used)));
    Configurator.reconfigure(builder.build());
    keepUntilTheEnd();
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
