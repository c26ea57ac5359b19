package org.marjoramhoist.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.json.Utf8;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostId;

/**
 * The settings of an entry host.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the host's name, unique in the fleet
 * @param domain its failure domain
 * @param region its region
 * @param domains all failure domains, the same list on every host
 * @param listen the addresses of its listeners
 * @param peers addresses of other hosts' peer listeners, to begin with
 * @param store how to reach the platform's store
 * @param limits bounds on requests and queues
 * @param timing intervals and time-outs
 * @param operatorTokenHashes SHA-256 of the operators' tokens; none lets all operate
 * @param log how events are written
 */
public record Settings(
    HostId host,
    DomainId domain,
    String region,
    List<DomainId> domains,
    Listen listen,
    List<String> peers,
    StoreSettings store,
    Limits limits,
    Timing timing,
    List<String> operatorTokenHashes,
    LogSettings log) {

  /** Creates settings of copies. */
  public Settings {
    domains = List.copyOf(domains);
    peers = List.copyOf(peers);
    operatorTokenHashes = List.copyOf(operatorTokenHashes);
  }

  /** Addresses, {@code host:port}, of the listeners for callers, operators and other hosts. */
  public record Listen(String callers, String operators, String peers) {}

  /** Endpoints of the store, and how many calls a second this host may make. */
  public record StoreSettings(List<String> endpoints, int callsPerSecond) {}

  /**
   * Bounds on requests and queues.
   *
   * @param maxBodyBytes the largest body of a request
   * @param maxTasksPerJob the most tasks of a job
   * @param maxQueuedTasks the most tasks that wait or run at this host
   * @param maxConnections the most connections of callers
   * @param maxDeadlineMillis how far ahead a deadline may lie
   * @param shardsPerDomain how many shards a domain's submissions are split into
   */
  public record Limits(
      long maxBodyBytes,
      int maxTasksPerJob,
      int maxQueuedTasks,
      int maxConnections,
      long maxDeadlineMillis,
      int shardsPerDomain) {}

  /**
   * Intervals and time-outs, in milliseconds.
   *
   * @param heartbeatMillis the interval of heartbeats within the domain
   * @param remoteHeartbeatMillis the interval of heartbeats to other domains
   * @param suspectMillis the silence after which a host is suspected
   * @param deadMillis the silence after which a host is taken for dead
   * @param claimMillis how long a claim may take
   * @param resubmitGraceMillis how long after its deadline a submission is remembered
   * @param drainMillis how long a graceful shutdown may take
   */
  public record Timing(
      long heartbeatMillis,
      long remoteHeartbeatMillis,
      long suspectMillis,
      long deadMillis,
      long claimMillis,
      long resubmitGraceMillis,
      long drainMillis) {}

  /** The form of log events, {@code text} or {@code json}, and the least level. */
  public record LogSettings(String format, String level) {}

  /**
   * Reads a settings file.
   *
   * @throws IOException if the file can't be read
   * @throws InvalidDocumentException with every fault found
   */
  public static Settings load(Path file) throws IOException, InvalidDocumentException {
    return SettingsParser.parse(file.toString(), Utf8.read(file));
  }

  /**
   * Reads settings from a text.
   *
   * @param source names the text, for the messages
   * @throws InvalidDocumentException with every fault found
   */
  public static Settings parse(String source, String text) throws InvalidDocumentException {
    return SettingsParser.parse(source, text);
  }
}
