package org.marjoramhoist.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The recent demand of caller groups and the share of it that was served.
 *
 * <p>A group is entitled to its demand, but to no more than its long-term average demand, so that a
 * burst does not count as unserved demand of the group. Work is in thousandths of a core times
 * microseconds, as estimated by callers. All sums decay exponentially. If there are too many
 * groups, the least recently used one is evicted. Confined to one thread.
 */
public final class ServedShares {

  /**
   * The callers of one failure domain with jobs of one request class.
   *
   * @param origin the failure domain of the entry hosts that they call; empty if unknown
   * @param requestClass the name of the request class
   */
  public record CallerGroup(String origin, String requestClass) {
    @Override
    public String toString() {
      return origin + "/" + requestClass;
    }
  }

  private static final double PERCENT = 100;
  private static final int MAX_GROUPS = 256;

  /** Longer than jobs usually wait, so that waiting jobs hardly count as unserved. */
  private static final double RECENT_TIME_CONSTANT_MICROS = 1_500_000;

  /** Several times the period in which the load of a failure domain varies. */
  private static final double LONG_TIME_CONSTANT_MICROS = 60_000_000;

  /**
   * The number of average jobs of a group that are assumed to be served, as a prior for groups with
   * little history.
   */
  private static final double PRIOR_JOBS = 4;

  /** The decayed number of recent jobs below which a group counts as having no recent demand. */
  private static final double MIN_RECENT_JOBS = 0.01;

  private static final class GroupStats {
    private double demanded;
    private double served;
    private double longTermDemand;
    private double recentJobs;
    private long decayedAt;

    private GroupStats(long now) {
      decayedAt = now;
    }

    private GroupStats decayTo(long now) {
      if (now > decayedAt) {
        double factor = ExponentialDecay.factor(decayedAt, now, RECENT_TIME_CONSTANT_MICROS);
        demanded *= factor;
        served *= factor;
        recentJobs *= factor;
        longTermDemand *= ExponentialDecay.factor(decayedAt, now, LONG_TIME_CONSTANT_MICROS);
        decayedAt = now;
      }
      return this;
    }
  }

  private final Map<CallerGroup, GroupStats> statsByGroup = new LinkedHashMap<>(16, 0.75f, true);
  private final long createdAt;

  ServedShares(long now) {
    createdAt = now;
  }

  /** Records demand of a group. */
  void recordDemand(CallerGroup group, double work, long now) {
    GroupStats stats =
        statsByGroup.computeIfAbsent(group, each -> new GroupStats(now)).decayTo(now);
    stats.demanded += work;
    stats.longTermDemand += work;
    stats.recentJobs++;
    if (statsByGroup.size() > MAX_GROUPS) {
      statsByGroup.remove(statsByGroup.keySet().iterator().next());
    }
  }

  /** Records work of a group as served. */
  void recordServed(CallerGroup group, double work, long now) {
    GroupStats stats = statsByGroup.get(group);
    if (stats != null) {
      stats.decayTo(now).served += work;
    }
  }

  /** Reverts {@link #recordServed} for a job that did not meet its objective. */
  void retractServed(CallerGroup group, double work, long servedAt, long now) {
    GroupStats stats = statsByGroup.get(group);
    if (stats != null) {
      double remaining = work * ExponentialDecay.factor(servedAt, now, RECENT_TIME_CONSTANT_MICROS);
      stats.decayTo(now).served = Math.max(0, stats.served - remaining);
    }
  }

  /**
   * Returns the share of its entitlement that a group recently received, greater than 0 and at most
   * 1.
   */
  double servedShare(CallerGroup group, long now) {
    return Math.min(1, serviceRatio(group, now));
  }

  /**
   * Returns the work recently served to a group, divided by its entitlement; 1 if there is little
   * history. A ratio above 1 means that the group received capacity left over by others.
   */
  double serviceRatio(CallerGroup group, long now) {
    GroupStats stats = statsByGroup.get(group);
    return stats == null ? 1 : serviceRatio(stats.decayTo(now), now);
  }

  private double serviceRatio(GroupStats stats, long now) {
    if (stats.recentJobs < MIN_RECENT_JOBS) {
      return 1;
    }
    double priorWork = PRIOR_JOBS * stats.demanded / stats.recentJobs;
    double entitlement = Math.min(stats.demanded, typicalRecentDemand(stats, now));
    return (stats.served + priorWork) / (entitlement + priorWork);
  }

  /**
   * Returns the demand that is typical of the group within the effective window of recent demand.
   */
  private double typicalRecentDemand(GroupStats stats, long now) {
    double knownMicros = Math.max(1, now - createdAt);
    return stats.longTermDemand
        * effectiveWindow(RECENT_TIME_CONSTANT_MICROS, knownMicros)
        / effectiveWindow(LONG_TIME_CONSTANT_MICROS, knownMicros);
  }

  /** Returns the length of time covered by a sum with exponential decay. */
  private static double effectiveWindow(double timeConstantMicros, double knownMicros) {
    return timeConstantMicros * -Math.expm1(-knownMicros / timeConstantMicros);
  }

  /** Formats shares for the log, in ascending order. */
  public static String describe(Map<CallerGroup, Double> shares) {
    return shares.entrySet().stream()
        .sorted(Map.Entry.comparingByValue())
        .map(each -> each.getKey() + "=" + Math.round(each.getValue() * PERCENT) + "%")
        .collect(Collectors.joining(" "));
  }

  /** Returns the served shares of all groups with recent demand. */
  Map<CallerGroup, Double> servedShares(long now) {
    Map<CallerGroup, Double> shares = new HashMap<>();
    statsByGroup.forEach(
        (group, stats) -> {
          if (stats.decayTo(now).recentJobs >= MIN_RECENT_JOBS) {
            shares.put(group, Math.min(1, serviceRatio(stats, now)));
          }
        });
    return shares;
  }
}
