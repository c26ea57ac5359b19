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
  private static final int MOST_GROUPS = 256;

  /** Longer than jobs usually wait, so that waiting jobs hardly count as unserved. */
  private static final double RECENT_MICROS = 1_500_000;

  /** Several times the period in which the load of a failure domain varies. */
  private static final double USUAL_MICROS = 60_000_000;

  /** How many mean jobs of a group are assumed to be served while little is known of it. */
  private static final double PRIOR_JOBS = 4;

  /** Recent jobs, as an aged number, under which nothing is known of a group. */
  private static final double LEAST_JOBS = 0.01;

  private static final class Tally {
    private double asked;
    private double served;
    private double usual;
    private double jobs;
    private long agedAt;

    private Tally(long now) {
      agedAt = now;
    }

    private Tally aged(long now) {
      if (now > agedAt) {
        double recent = Aging.left(agedAt, now, RECENT_MICROS);
        asked *= recent;
        served *= recent;
        jobs *= recent;
        usual *= Aging.left(agedAt, now, USUAL_MICROS);
        agedAt = now;
      }
      return this;
    }
  }

  private final Map<CallerGroup, Tally> tallies = new LinkedHashMap<>(16, 0.75f, true);
  private final long since;

  ServedShares(long now) {
    since = now;
  }

  /** Takes in that a group asked for work. */
  void asked(CallerGroup group, double work, long now) {
    Tally tally = tallies.computeIfAbsent(group, each -> new Tally(now)).aged(now);
    tally.asked += work;
    tally.usual += work;
    tally.jobs++;
    if (tallies.size() > MOST_GROUPS) {
      tallies.remove(tallies.keySet().iterator().next());
    }
  }

  /** Takes in that work of a group is served. */
  void served(CallerGroup group, double work, long now) {
    Tally tally = tallies.get(group);
    if (tally != null) {
      tally.aged(now).served += work;
    }
  }

  /** Takes back that work of a group was served, as its job was not done in time. */
  void takenBack(CallerGroup group, double work, long servedAt, long now) {
    Tally tally = tallies.get(group);
    if (tally != null) {
      double left = work * Aging.left(servedAt, now, RECENT_MICROS);
      tally.aged(now).served = Math.max(0, tally.served - left);
    }
  }

  /** Returns what share of its entitlement a group lately got, over 0 and at most 1. */
  double share(CallerGroup group, long now) {
    return Math.min(1, level(group, now));
  }

  /**
   * Returns how many times its entitlement a group lately got; 1 while little is known. More than 1
   * means that it was given what others left.
   */
  double level(CallerGroup group, long now) {
    Tally tally = tallies.get(group);
    return tally == null ? 1 : level(tally.aged(now), now);
  }

  private double level(Tally tally, long now) {
    if (tally.jobs < LEAST_JOBS) {
      return 1;
    }
    double prior = PRIOR_JOBS * tally.asked / tally.jobs;
    double entitled = Math.min(tally.asked, usualOfRecentTime(tally, now));
    return (tally.served + prior) / (entitled + prior);
  }

  /** Returns what the group usually asks for in the time that counts as recent. */
  private double usualOfRecentTime(Tally tally, long now) {
    double known = Math.max(1, now - since);
    return tally.usual * span(RECENT_MICROS, known) / span(USUAL_MICROS, known);
  }

  /** Returns the time that an aged sum stands for. */
  private static double span(double agingMicros, double knownMicros) {
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
  Map<CallerGroup, Double> shares(long now) {
    Map<CallerGroup, Double> shares = new HashMap<>();
    tallies.forEach(
        (group, tally) -> {
          if (tally.aged(now).jobs >= LEAST_JOBS) {
            shares.put(group, Math.min(1, level(tally, now)));
          }
        });
    return shares;
  }
}
