package org.marjoramhoist.config;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.json.Problems;
import org.marjoramhoist.json.StrictObject;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostId;

/**
 * Reads settings and finds every fault in them.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class SettingsParser {

  private static final Pattern ADDRESS = Pattern.compile("[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}");
  private static final Pattern HOST = Pattern.compile("[A-Za-z0-9._-]{1,64}");
  private static final int MAX_PORT = 65_535;
  private static final long MIB = 1L << 20;
  private static final long MINUTE_MILLIS = 60_000;
  private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;
  private static final int MAX_TASKS = 100_000;
  private static final int MAX_QUEUED = 10_000_000;
  private static final int MAX_CONNECTIONS = 65_536;
  private static final int MAX_SHARDS = 256;
  private static final int MAX_CALLS = 10_000;

  private SettingsParser() {}

  static Settings parse(String source, String text) throws InvalidDocumentException {
    Problems problems = new Problems(source);
    Settings settings;
    try (StrictObject root = StrictObject.parse(text, problems)) {
      settings = read(root);
    }
    problems.throwIfAny();
    return settings;
  }

  private static Settings read(StrictObject root) {
    DomainId domain = root.value("domain", DomainId::new);
    List<DomainId> domains = domains(root);
    if (domain != null && !domains.isEmpty() && !domains.contains(domain)) {
      root.fault("domain", "must be one of domains, but is " + domain);
    }
    return new Settings(
        root.value("host", SettingsParser::host),
        domain,
        root.text("region", ""),
        domains,
        listen(root),
        addresses(root, "peers"),
        store(root),
        limits(root),
        timing(root),
        root.texts("operatorTokenHashes"),
        log(root));
  }

  private static HostId host(String name) {
    if (!HOST.matcher(name).matches()) {
      throw new IllegalArgumentException(
          "must be 1 to 64 letters, digits, dots, underscores or hyphens");
    }
    return new HostId(name);
  }

  private static List<DomainId> domains(StrictObject root) {
    List<DomainId> domains = new ArrayList<>();
    for (String name : root.texts("domains")) {
      try {
        domains.add(new DomainId(name));
      } catch (IllegalArgumentException e) {
        root.fault("domains", e.getMessage());
      }
    }
    if (domains.isEmpty()) {
      root.fault("domains", "must name at least one failure domain");
    }
    return domains;
  }

  private static Settings.Listen listen(StrictObject root) {
    try (StrictObject listen = root.object("listen")) {
      return new Settings.Listen(
          address(listen, "callers"), address(listen, "operators"), address(listen, "peers"));
    }
  }

  private static String address(StrictObject object, String key) {
    String text = object.text(key);
    if (text != null && !isAddress(text)) {
      object.fault(key, "must be an IP number and a port, such as 10.0.0.7:7100");
    }
    return text;
  }

  private static boolean isAddress(String text) {
    if (!ADDRESS.matcher(text).matches()) {
      return false;
    }
    return Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) <= MAX_PORT;
  }

  private static List<String> addresses(StrictObject object, String key) {
    List<String> all = object.texts(key);
    for (String text : all) {
      if (!isAddress(text)) {
        object.fault(key, "must hold IP numbers with ports, but holds " + text);
      }
    }
    return all;
  }

  private static Settings.StoreSettings store(StrictObject root) {
    try (StrictObject store = root.object("store")) {
      List<String> endpoints = addresses(store, "endpoints");
      if (endpoints.isEmpty()) {
        store.fault("endpoints", "must name at least one endpoint of the platform's store");
      }
      int rate = (int) store.number("callsPerSecond", 1, MAX_CALLS, 50);
      return new Settings.StoreSettings(endpoints, rate);
    }
  }

  private static Settings.Limits limits(StrictObject root) {
    try (StrictObject limits = root.object("limits")) {
      return new Settings.Limits(
          limits.number("maxBodyBytes", 1024, 8 * MIB, 4 * MIB),
          (int) limits.number("maxTasksPerJob", 1, MAX_TASKS, 1_000),
          (int) limits.number("maxQueuedTasks", 1, MAX_QUEUED, 50_000),
          (int) limits.number("maxConnections", 1, MAX_CONNECTIONS, 10_000),
          limits.number("maxDeadlineMillis", 1_000, HOUR_MILLIS, 10 * MINUTE_MILLIS),
          (int) limits.number("shardsPerDomain", 1, MAX_SHARDS, 8));
    }
  }

  private static Settings.Timing timing(StrictObject root) {
    try (StrictObject timing = root.object("timing")) {
      long heartbeat = timing.number("heartbeatMillis", 20, MINUTE_MILLIS, 250);
      long remote = timing.number("remoteHeartbeatMillis", 20, MINUTE_MILLIS, 1_000);
      long suspect = timing.number("suspectMillis", 50, MINUTE_MILLIS, 750);
      long dead = timing.number("deadMillis", 50, HOUR_MILLIS, 2_000);
      if (suspect < 2 * heartbeat) {
        timing.fault("suspectMillis", "must be at least twice heartbeatMillis");
      }
      if (dead < suspect) {
        timing.fault("deadMillis", "must be at least suspectMillis");
      }
      if (remote < heartbeat) {
        timing.fault("remoteHeartbeatMillis", "must be at least heartbeatMillis");
      }
      return new Settings.Timing(
          heartbeat,
          remote,
          suspect,
          dead,
          timing.number("claimMillis", 10, MINUTE_MILLIS, 500),
          timing.number("resubmitGraceMillis", 1_000, HOUR_MILLIS, MINUTE_MILLIS),
          timing.number("drainMillis", 0, HOUR_MILLIS, MINUTE_MILLIS / 2));
    }
  }

  private static Settings.LogSettings log(StrictObject root) {
    try (StrictObject log = root.object("log")) {
      String format = log.text("format", "text");
      String level = log.text("level", "info");
      if (!format.equals("text") && !format.equals("json")) {
        log.fault("format", "must be text or json, but is " + format);
      }
      if (!List.of("debug", "info", "warn", "error").contains(level)) {
        log.fault("level", "must be debug, info, warn or error, but is " + level);
      }
      return new Settings.LogSettings(format, level);
    }
  }
}
