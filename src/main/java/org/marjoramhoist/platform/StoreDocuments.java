package org.marjoramhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.RouteTable;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.model.RequestLimits;

/**
 * Parses the documents that the operator writes to the platform's store.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class StoreDocuments {

  /** The prefix of the operator's keys. */
  public static final String OPERATOR_PREFIX = "op/";

  /** The key of the configuration. */
  public static final String CONFIG_KEY = OPERATOR_PREFIX + "config";

  /** The prefix of the keys that each request the drain of a failure domain. */
  private static final String DRAIN_PREFIX = OPERATOR_PREFIX + "evacuate/";

  private static final int MAX_HEAD_BYTES = 1 << 20;
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  private StoreDocuments() {}

  /**
   * Parses a configuration.
   *
   * @throws IOException if the text is not a valid configuration
   */
  public static RouteTable parseConfig(String text) throws IOException {
    JsonNode root = JsonText.MAPPER.readTree(text);
    if (root == null || !isVersion(root.path("version"))) {
      throw new IOException("the configuration has no version that can be compared");
    }
    Set<String> unguarded = parseUnguardedUpstreams(root.path("services"));
    List<RequestClass> classes = new ArrayList<>();
    for (JsonNode route : root.path("routes")) {
      classes.add(parseRequestClass(route, unguarded));
    }
    return new RouteTable(
        root.path("version").asLong(), classes, parseRequestLimits(root.path("limits")));
  }

  /** Returns the limits of requests; those that are missing or not usable have their defaults. */
  private static RequestLimits parseRequestLimits(JsonNode limits) {
    RequestLimits defaults = RequestLimits.DEFAULT;
    return new RequestLimits(
        (int) positive(limits, "maxHeaderBytes", defaults.maxHeadBytes(), MAX_HEAD_BYTES),
        (int) positive(limits, "maxBodyBytes", defaults.maxBodyBytes(), MAX_BODY_BYTES),
        positive(limits, "headerTimeoutMs", defaults.headTimeoutMillis(), MAX_TIMEOUT_MILLIS),
        positive(limits, "idleTimeoutMs", defaults.idleTimeoutMillis(), MAX_TIMEOUT_MILLIS));
  }

  private static long positive(JsonNode limits, String field, long fallback, long max) {
    JsonNode value = limits.path(field);
    return value.canConvertToLong() && value.isIntegralNumber() && value.asLong() > 0
        ? Math.min(value.asLong(), max)
        : fallback;
  }

  /** Returns the upstreams whose workers start whatever they are told to. */
  private static Set<String> parseUnguardedUpstreams(JsonNode services) {
    Set<String> unguarded = new HashSet<>();
    for (JsonNode service : services) {
      if (!service.path("rejectsOverload").asBoolean(true)) {
        unguarded.add(service.path("name").asText());
      }
    }
    return unguarded;
  }

  private static boolean isVersion(JsonNode version) {
    return version.isIntegralNumber() && version.canConvertToLong();
  }

  private static RequestClass parseRequestClass(JsonNode route, Set<String> unguarded) {
    return new RequestClass(
        route.path("name").asText(),
        // The host name in the requests, not a machine.
        route.path("host").asText(),
        route.path("prefix").asText(),
        route.path("service").asText(),
        route.path("priority").asInt(),
        Math.max(1, route.path("attempts").asInt(1)),
        route.path("stretch").asDouble(1),
        // Not a run time, but the time that the objective allows beyond the stretched run time.
        route.path("targetRuntimeMs").asLong(),
        route.hasNonNull("advice"),
        unguarded.contains(route.path("service").asText()));
  }

  /** Returns the failure domain whose drain a key requests; empty if it is not a drain key. */
  public static Optional<String> parseDrainKey(String key) {
    return key.startsWith(DRAIN_PREFIX) && key.length() > DRAIN_PREFIX.length()
        ? Optional.of(key.substring(DRAIN_PREFIX.length()))
        : Optional.empty();
  }
}
