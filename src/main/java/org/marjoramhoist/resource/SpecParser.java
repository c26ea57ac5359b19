package org.marjoramhoist.resource;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramhoist.json.StrictObject;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.model.UpstreamId;
import org.marjoramhoist.model.WorkerId;

/**
 * Reads the specification part of a declared resource.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class SpecParser {

  private static final int MAX_SLOTS = 4096;
  private static final int MAX_CONNECTIONS = 65_536;
  private static final int MAX_CORES = 4096;
  private static final long MAX_MEMORY_MB = 1L << 26;
  private static final int MAX_ACCELERATORS = 1024;
  private static final int MAX_QUOTA_TASKS = 10_000_000;
  private static final int MAX_SHARE = 10_000;
  private static final int MAX_ATTEMPTS = 20;
  private static final long MAX_RUN_MILLIS = 600_000;
  private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
  private static final long DEFAULT_EXPECTED_MILLIS = 200;
  private static final int DEFAULT_SLOTS = 8;
  private static final int DEFAULT_CONNECTIONS = 64;
  private static final int DEFAULT_QUOTA_TASKS = 10_000;
  private static final int DEFAULT_ATTEMPTS = 3;
  private static final int TOKEN_HASH_LENGTH = 64;

  private SpecParser() {}

  static UpstreamSpec upstream(String name, StrictObject spec) {
    List<WorkerSpec> workers = new ArrayList<>();
    Set<WorkerId> seen = new HashSet<>();
    for (StrictObject item : spec.objects("workers")) {
      try (item) {
        WorkerSpec worker = worker(item);
        if (worker.id() != null && !seen.add(worker.id())) {
          item.fault("name", "stands twice: " + worker.id());
        }
        workers.add(worker);
      }
    }
    return new UpstreamSpec(new UpstreamId(name), workers);
  }

  private static WorkerSpec worker(StrictObject item) {
    return new WorkerSpec(
        item.value("name", WorkerId::new),
        address(item),
        item.value("domain", DomainId::new),
        item.text("rack", ""),
        (int) item.number("slots", 1, MAX_SLOTS, DEFAULT_SLOTS),
        (int) item.number("connections", 1, MAX_CONNECTIONS, DEFAULT_CONNECTIONS),
        needs(item),
        item.flag("leaving", false));
  }

  private static String address(StrictObject item) {
    String address = item.text("address");
    if (address != null && !address.matches("[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}")) {
      item.fault("address", "must be an IP number and a port, such as 10.0.0.7:9000");
    }
    return address;
  }

  static TeamSpec team(String name, StrictObject spec) {
    List<String> hashes = spec.texts("tokenHashes");
    for (String hash : hashes) {
      if (hash.length() != TOKEN_HASH_LENGTH || !hash.matches("[0-9a-f]+")) {
        spec.fault("tokenHashes", "must hold SHA-256 values as 64 hexadecimal digits");
      }
    }
    return new TeamSpec(
        new TeamId(name),
        (int) spec.number("quotaTasks", 1, MAX_QUOTA_TASKS, DEFAULT_QUOTA_TASKS),
        (int) spec.number("share", 1, MAX_SHARE, 1),
        hashes);
  }

  static ClassSpec requestClass(String name, StrictObject spec) {
    Set<TeamId> teams = new HashSet<>();
    for (String team : spec.texts("teams")) {
      try {
        teams.add(new TeamId(team));
      } catch (IllegalArgumentException e) {
        spec.fault("teams", e.getMessage());
      }
    }
    return new ClassSpec(
        new ClassId(name),
        spec.value("upstream", UpstreamId::new),
        spec.number("deadlineMillis", 1, MAX_RUN_MILLIS, DEFAULT_DEADLINE_MILLIS),
        spec.number("expectedMillis", 1, MAX_RUN_MILLIS, DEFAULT_EXPECTED_MILLIS),
        (int) spec.number("maxAttempts", 1, MAX_ATTEMPTS, DEFAULT_ATTEMPTS),
        spec.flag("idempotent", false),
        needs(spec),
        teams);
  }

  private static Needs needs(StrictObject item) {
    return new Needs(
        (int) item.number("cores", 0, MAX_CORES, 1),
        item.number("memoryMb", 0, MAX_MEMORY_MB, 0),
        (int) item.number("accelerators", 0, MAX_ACCELERATORS, 0));
  }
}
