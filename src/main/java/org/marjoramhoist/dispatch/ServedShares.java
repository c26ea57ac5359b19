package org.marjoramhoist.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What groups of callers lately asked for, and what of it was served.
 *
 * <p>A group is entitled to what it asks for, but to no more than it usually asks for, so that a
 * burst of one group does not count as unmet need of that group. Work is in thousandths of a core
 * times microseconds, as estimated by callers. All sums age exponentially; when there are too many
 * groups, the least recently used one is evicted. Confined to one thread.
 */
public final class ServedShares {

  /**
   * Callers of one failure domain with jobs of one class.
   *
   * @param origin the failure domain of the hosts that they call; empty if it is not known
   * @param requestClass the name of the class
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

  /** How many mean jobs of a group are assumed to be served while little is known of it. */
  private static final double PRIOR_JOBS = 4;

  /** Recent jobs, as an aged number, under which nothing is known of a group. */
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
        double recent = ExponentialDecay.factor(decayedAt, now, RECENT_TIME_CONSTANT_MICROS);
        demanded *= recent;
        served *= recent;
        recentJobs *= recent;
        longTermDemand *= ExponentialDecay.factor(decayedAt, now, LONG_TIME_CONSTANT_MICROS);
        decayedAt = now;
      }
      return this;
    }
  }

  private final Map<CallerGroup, GroupStats> statsByGroup = new LinkedHashMap<>(16, 0.75f, true);
  private final long since;

  ServedShares(long now) {
    since = now;
  }

  /** Takes in that a group asked for work. */
  void recordDemand(CallerGroup group, double work, long now) {
    GroupStats tally =
        statsByGroup.computeIfAbsent(group, each -> new GroupStats(now)).decayTo(now);
    tally.demanded += work;
    tally.longTermDemand += work;
    tally.recentJobs++;
    if (statsByGroup.size() > MAX_GROUPS) {
      statsByGroup.remove(statsByGroup.keySet().iterator().next());
    }
  }

  /** Takes in that work of a group is served. */
  void recordServed(CallerGroup group, double work, long now) {
    GroupStats tally = statsByGroup.get(group);
    if (tally != null) {
      tally.decayTo(now).served += work;
    }
  }

  /** Takes back that work of a group was served, as its job was not done in time. */
  void retractServed(CallerGroup group, double work, long servedAt, long now) {
    GroupStats tally = statsByGroup.get(group);
    if (tally != null) {
      double left = work * ExponentialDecay.factor(servedAt, now, RECENT_TIME_CONSTANT_MICROS);
      tally.decayTo(now).served = Math.max(0, tally.served - left);
    }
  }

  /** Returns what share of its entitlement a group lately got, over 0 and at most 1. */
  double servedShare(CallerGroup group, long now) {
    return Math.min(1, serviceRatio(group, now));
  }

  /**
   * Returns how many times its entitlement a group lately got; 1 while little is known. More than 1
   * means that it was given what others left.
   */
  double serviceRatio(CallerGroup group, long now) {
    GroupStats tally = statsByGroup.get(group);
    return tally == null ? 1 : serviceRatio(tally.decayTo(now), now);
  }

  private double serviceRatio(GroupStats tally, long now) {
    if (tally.recentJobs < MIN_RECENT_JOBS) {
      return 1;
    }
    double prior = PRIOR_JOBS * tally.demanded / tally.recentJobs;
    double entitled = Math.min(tally.demanded, typicalRecentDemand(tally, now));
    return (tally.served + prior) / (entitled + prior);
  }

  /** Returns what the group usually asks for in the time that counts as recent. */
  private double typicalRecentDemand(GroupStats tally, long now) {
    double known = Math.max(1, now - since);
    return tally.longTermDemand
        * effectiveWindow(RECENT_TIME_CONSTANT_MICROS, known)
        / effectiveWindow(LONG_TIME_CONSTANT_MICROS, known);
  }

  /** Returns the time that an aged sum stands for. */
  private static double effectiveWindow(double agingMicros, double knownMicros) {
    return agingMicros * -Math.expm1(-knownMicros / agingMicros);
  }

  /** Returns shares as a text for logs, the least first. */
  public static String describe(Map<CallerGroup, Double> shares) {
    return shares.entrySet().stream()
        .sorted(Map.Entry.comparingByValue())
        .map(each -> each.getKey() + "=" + Math.round(each.getValue() * PERCENT) + "%")
        .collect(Collectors.joining(" "));
  }

  /** Returns the shares of all groups that lately asked for anything. */
  Map<CallerGroup, Double> servedShares(long now) {
    Map<CallerGroup, Double> shares = new HashMap<>();
    statsByGroup.forEach(
        (group, tally) -> {
          if (tally.decayTo(now).recentJobs >= MIN_RECENT_JOBS) {
            shares.put(group, Math.min(1, serviceRatio(tally, now)));
          }
        });
    return shares;
  }
}
