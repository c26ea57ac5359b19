package org.marjoramhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RouteTable;
import org.marjoramhoist.json.JsonText;

/**
 * Reads what the operator and the workers write to the platform's store.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class StoreDocuments {

  /** The prefix of what the operator writes. */
  public static final String OPERATOR_PREFIX = "op/";

  /** The key of the configuration. */
  public static final String CONFIG_KEY = OPERATOR_PREFIX + "config";

  /** The prefix of the keys that each name a failure domain to be drained. */
  private static final String DRAIN_PREFIX = OPERATOR_PREFIX + "evacuate/";

  /** The prefix under which workers register. */
  public static final String WORKERS_PREFIX = "servers/";

  private static final Pattern ADDRESS = Pattern.compile("[0-9.]+:[0-9]{1,5}");

  private StoreDocuments() {}

  /**
   * Reads a configuration.
   *
   * @throws IOException if the text is no configuration
   */
  public static RouteTable parseConfig(String text) throws IOException {
    JsonNode root = JsonText.MAPPER.readTree(text);
    if (root == null || !root.path("version").isIntegralNumber()) {
      throw new IOException("the configuration has no version");
    }
    List<RequestClass> classes = new ArrayList<>();
    for (JsonNode route : root.path("routes")) {
      classes.add(readClass(route));
    }
    return new RouteTable(root.path("version").asLong(), classes);
  }

  private static RequestClass readClass(JsonNode route) {
    return new RequestClass(
        route.path("name").asText(),
        // The name that callers address, not a machine.
        route.path("host").asText(),
        route.path("prefix").asText(),
        route.path("service").asText(),
        route.path("priority").asInt(),
        Math.max(1, route.path("attempts").asInt(1)),
        route.path("stretch").asDouble(1),
        // Not a run time: what a job may take beyond its stretched run time.
        route.path("targetRuntimeMs").asLong(),
        route.hasNonNull("advice"));
  }

  /** Returns the failure domain that a key orders to be drained; empty if it orders none. */
  public static Optional<String> parseDrainKey(String key) {
    return key.startsWith(DRAIN_PREFIX) && key.length() > DRAIN_PREFIX.length()
        ? Optional.of(key.substring(DRAIN_PREFIX.length()))
        : Optional.empty();
  }

  /**
   * Reads a worker's entry.
   *
   * @param key the key it lies under
   * @param text the entry
   * @return the worker; empty if the entry names no worker that can be used
   */
  public static Optional<WorkerInfo> parseWorker(String key, String text) {
    JsonNode root;
    try {
      root = JsonText.MAPPER.readTree(text);
    } catch (IOException e) {
      return Optional.empty();
    }
    if (root == null || !isWorker(root)) {
      return Optional.empty();
    }
    JsonNode room = root.path("capacity");
    Resources capacity =
        new Resources(
            room.path("cpu").asLong(), room.path("memMb").asLong(), room.path("gpu").asLong());
    // The kind and then the rack, without names of their own.
    List<String> labels = new ArrayList<>();
    root.path("labels").forEach(label -> labels.add(label.asText()));
    return Optional.of(
        new WorkerInfo(
            key.substring(WORKERS_PREFIX.length()),
            root.path("service").asText(),
            root.path("address").asText(),
            root.path("zone").asText(),
            capacity,
            labels.isEmpty() ? "" : labels.get(0),
            labels.size() < 2 ? "" : labels.get(1),
            Set.copyOf(labels),
            root.path("state").asText().equals("draining"),
            root.path("born").asLong(),
            Math.max(0, root.path("warmupLeftMs").asLong())));
  }

  private static boolean isWorker(JsonNode root) {
    String state = root.path("state").asText();
    JsonNode room = root.path("capacity");
    return root.path("service").isTextual()
        && root.path("address").isTextual()
        && ADDRESS.matcher(root.path("address").asText()).matches()
        && (state.equals("ready") || state.equals("draining"))
        && room.path("cpu").isNumber()
        && room.path("memMb").isNumber()
        && root.path("labels").isArray();
  }
}
