package org.marjoramhoist.config;

import java.io.IOException;
import java.nio.file.Path;
import org.marjoramhoist.connection.ConnectionLimits;
import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.json.Problems;
import org.marjoramhoist.json.StrictObject;
import org.marjoramhoist.json.Utf8;
import org.marjoramhoist.log.EventLog;

/**
 * The settings of an entry host that uses the platform's store and workers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the host's name, unique in the fleet
 * @param failureDomain its failure domain
 * @param listen the addresses of its listeners
 * @param store {@code host:port} of the platform's store
 * @param leaseMillis how far ahead the lease of a run may end
 * @param farFactor how many times as long a task runs away from its data
 * @param keepMillis how long callers may ask for a durable job that has ended
 * @param drainMillis how long a graceful shutdown may take
 * @param limits what the host's machine can do
 * @param clients what the connections of clients may use in sum
 * @param scheduling how a leader uses the room of its workers
 * @param logLevel the least level of log events
 * @param logLinesPerSecond the most lines of an event that clients cause, in a second
 */
public record NodeSettings(
    String host,
    String failureDomain,
    Listen listen,
    String store,
    long leaseMillis,
    double farFactor,
    long keepMillis,
    long drainMillis,
    Limits limits,
    ConnectionLimits clients,
    SchedulingPolicy scheduling,
    String logLevel,
    int logLinesPerSecond) {

  private static final long MINUTE_MILLIS = 60_000;
  private static final double SECOND_MILLIS = 1_000;
  private static final double MAX_FACTOR = 100;
  private static final double MAX_DRAIN_SECONDS = 600;
  private static final double MAX_KEEP_SECONDS = 7 * 24 * 3_600;
  private static final double MAX_CORES = 1_024;
  private static final int MAX_LOG_LINES = 1_000_000;
  private static final double MAX_LINK_MBPS = 1_000_000;

  /**
   * Addresses, {@code host:port}, of the listeners.
   *
   * @param callers for callers
   * @param ready for the load balancer's checks
   * @param peers for other hosts
   * @param metrics for metrics; empty for none
   */
  public record Listen(String callers, String ready, String peers, String metrics) {}

  /**
   * What a host's machine can do.
   *
   * @param cores the processor time that it has a second, in seconds
   * @param linkMbps the bandwidth of its link, in Mbit/s
   */
  public record Limits(double cores, double linkMbps) {}

  /**
   * Reads a settings file.
   *
   * @throws IOException if the file can't be read
   * @throws InvalidDocumentException with every fault found
   */
  public static NodeSettings load(Path file) throws IOException, InvalidDocumentException {
    return parse(file.toString(), Utf8.read(file));
  }

  /**
   * Reads settings from a text.
   *
   * @param source names the text, for the messages
   * @throws InvalidDocumentException with every fault found
   */
  public static NodeSettings parse(String source, String text) throws InvalidDocumentException {
    Problems problems = new Problems(source);
    NodeSettings settings;
    try (StrictObject root = StrictObject.parse(text, problems)) {
      settings = read(root);
    }
    problems.throwIfAny();
    return settings;
  }

  private static NodeSettings read(StrictObject root) {
    Limits limits = readLimits(root);
    ConnectionLimits clients = ClientSettings.read(root);
    try (StrictObject listen = root.object("listen")) {
      Listen addresses =
          new Listen(
              listen.text("callers"),
              listen.text("ready"),
              listen.text("peers"),
              listen.text("metrics", ""));
      double drainSeconds = root.decimal("drainSeconds", 0, MAX_DRAIN_SECONDS, 5);
      double keepSeconds = root.decimal("keepSeconds", 0, MAX_KEEP_SECONDS, 120);
      return new NodeSettings(
          root.text("host"),
          root.text("failureDomain", ""),
          addresses,
          root.text("store"),
          root.number("leaseMillis", 100, MINUTE_MILLIS, 1_000),
          root.decimal("farFactor", 1, MAX_FACTOR, 1),
          (long) (keepSeconds * SECOND_MILLIS),
          (long) (drainSeconds * SECOND_MILLIS),
          limits,
          clients,
          SchedulingSettings.read(root),
          root.text("logLevel", "info"),
          (int)
              root.number(
                  "logLinesPerSecond", 1, MAX_LOG_LINES, EventLog.DEFAULT_LINES_PER_SECOND));
    }
  }

  private static Limits readLimits(StrictObject root) {
    try (StrictObject limits = root.object("limits")) {
      double cores =
          limits.decimal("processorShare", 0, MAX_CORES, 1)
              * limits.decimal("processorSpeed", 0, MAX_CORES, 1);
      return new Limits(cores, limits.decimal("linkMbps", 0, MAX_LINK_MBPS, 1_000));
    }
  }
}
