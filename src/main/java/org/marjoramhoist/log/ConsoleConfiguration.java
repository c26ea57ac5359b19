package org.marjoramhoist.log;

import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.layout.PatternLayout;

/**
 * Log4j's configuration for one console target.
 *
 * <p>It is put together in code: reading it through Log4j's plugin builders takes several times as
 * long, and a host that starts serves nobody. Used by one thread until it is started, and by Log4j
 * as it sees fit from then on.
 */
final class ConsoleConfiguration extends AbstractConfiguration {

  private static final String EVENTS = "events";
  private static final String LIBRARIES = "libraries";
  private static final String QUEUE_SUFFIX = "-queue";
  private static final int QUEUED_EVENTS = 4_096;

  private final Level level;
  private final String eventPattern;
  private final String libraryPattern;
  private final boolean queued;

  /**
   * Creates a configuration.
   *
   * @param level the least level of the project's events
   * @param eventPattern the form of an event's line
   * @param libraryPattern the form of the line of an error that a library logs
   * @param queued whether lines go to standard output over a bounded queue, from which events are
   *     dropped while it is full, rather than straight to standard error
   */
  ConsoleConfiguration(Level level, String eventPattern, String libraryPattern, boolean queued) {
    super(null, ConfigurationSource.NULL_SOURCE);
    this.level = level;
    this.eventPattern = eventPattern;
    this.libraryPattern = libraryPattern;
    this.queued = queued;
    this.isShutdownHookEnabled = false;
  }

  @Override
  protected void doConfigure() {
    LoggerConfig logger = new LoggerConfig(Logging.LOGGER, level, false);
    logger.addAppender(target(EVENTS, eventPattern), null, null);
    addLogger(Logging.LOGGER, logger);
    getRootLogger().setLevel(Level.ERROR);
    getRootLogger().addAppender(target(LIBRARIES, libraryPattern), null, null);
  }

  private Appender target(String name, String pattern) {
    Appender console = console(name, pattern);
    addAppender(console);
    return queued ? queueBefore(console) : console;
  }

  private Appender console(String name, String pattern) {
    PatternLayout layout =
        PatternLayout.newBuilder()
            .setConfiguration(this)
            .setPattern(pattern)
            .setCharset(StandardCharsets.UTF_8)
            .setAlwaysWriteExceptions(false)
            .build();
    ConsoleAppender.Target target =
        queued ? ConsoleAppender.Target.SYSTEM_OUT : ConsoleAppender.Target.SYSTEM_ERR;
    return ConsoleAppender.newBuilder()
        .setName(name)
        .setTarget(target)
        .setFollow(true)
        .setLayout(layout)
        .setConfiguration(this)
        .build();
  }

  private Appender queueBefore(Appender console) {
    AppenderRef end = AppenderRef.createAppenderRef(console.getName(), null, null);
    Appender queue =
        AsyncAppender.newBuilder()
            .setName(console.getName() + QUEUE_SUFFIX)
            .setAppenderRefs(new AppenderRef[] {end})
            .setBufferSize(QUEUED_EVENTS)
            .setBlocking(false)
            .setConfiguration(this)
            .build();
    addAppender(queue);
    return queue;
  }
}
