package org.marjoramhoist.config;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.dispatch.SchedulingPolicy.Overload;
import org.marjoramhoist.dispatch.SchedulingPolicy.Placement;
import org.marjoramhoist.json.StrictObject;
import org.marjoramhoist.platform.JobBodies;

/**
 * Reads the {@code scheduling} part of a host's settings.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class SchedulingSettings {

  private static final int MAX_PRIORITY = 1_000;
  private static final double MAX_VALUE = 1_000_000;

  /** Leaves room for the largest job. */
  private static final int MIN_OPEN_TASKS = 2 * JobBodies.MAX_TASKS;

  private static final int MAX_OPEN_TASKS = 10_000_000;

  /** The part of the heap for open jobs. */
  private static final int OPEN_JOBS_PART = 5;

  /** One half of it has room for the largest job of the default limits. */
  private static final long MIN_OPEN_KIB = 6_144;

  private SchedulingSettings() {}

  /** Reads the settings; what is absent has the default policy's value. */
  static SchedulingPolicy read(StrictObject root) {
    SchedulingPolicy fallback = SchedulingPolicy.DEFAULT;
    try (StrictObject scheduling = root.object("scheduling")) {
      return new SchedulingPolicy(
          choice(scheduling, "placement", Placement.class, fallback.placement()),
          choice(scheduling, "overload", Overload.class, fallback.overload()),
          scheduling.flag("fairShares", fallback.fairShares()),
          readValues(scheduling),
          scheduling.decimal("lateValue", 0, 1, fallback.lateValue()),
          (int)
              scheduling.number(
                  "maxOpenTasks", MIN_OPEN_TASKS, MAX_OPEN_TASKS, fallback.maxOpenTasks()),
          HeapPart.bytes(scheduling, "maxOpenKib", OPEN_JOBS_PART, MIN_OPEN_KIB));
    }
  }

  private static Map<Integer, Double> readValues(StrictObject scheduling) {
    Map<Integer, Double> values = new HashMap<>();
    for (StrictObject each : scheduling.objects("jobValues")) {
      try (each) {
        int priority = (int) each.number("priority", 0, MAX_PRIORITY);
        if (values.put(priority, each.decimal("value", 0, MAX_VALUE, 1)) != null) {
          each.fault("priority", "is named twice");
        }
      }
    }
    return values;
  }

  private static <E extends Enum<E>> E choice(
      StrictObject object, String key, Class<E> type, E fallback) {
    String text = object.text(key, name(fallback));
    for (E each : type.getEnumConstants()) {
      if (name(each).equals(text)) {
        return each;
      }
    }
    List<String> names = Arrays.stream(type.getEnumConstants()).map(e -> name(e)).toList();
    object.fault(key, "must be one of " + names + ", but is " + text);
    return fallback;
  }

  private static String name(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
