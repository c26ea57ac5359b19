package org.marjoramhoist.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Admits the share of new jobs that a leader can start, preferring jobs with the highest value per
 * start.
 *
 * <p>The share is measured in starts, as they determine the cost of a job for the leader. The value
 * per start within a class is modeled as spread around the mean of the class, and the part above a
 * threshold is admitted. Classes of equal value are therefore admitted equally, and small
 * differences in value have a small effect. Confined to one thread.
 */
public final class ValueBasedAdmission {

  /** The maximum number of classes kept in memory; the least recently used one is evicted. */
  private static final int MAX_CLASSES = 64;

  /**
   * Long enough to observe several jobs of each class at one entry host, and short enough to follow
   * the load.
   */
  private static final double TIME_CONSTANT_MICROS = 10_000_000;

  /**
   * The fraction of the share that is admitted regardless of value, so that no class is starved.
   */
  private static final double EVEN_SHARE = 0.1;

  /** The logarithm of the ratio between the highest and the lowest value modeled within a class. */
  private static final double LOG_SPREAD = Math.log(2);

  /**
   * The number of bisection steps for the threshold. Further steps change the admitted share by
   * less than 0.1%.
   */
  private static final int BISECTION_STEPS = 20;

  private static final class ClassStats {
    private double jobs;
    private double starts;
    private double logValuePerStart;
    private long decayedAt;
    private double credit;

    private void add(double value, int tasks, long now) {
      decay(now);
      jobs++;
      starts += Math.max(1, tasks);
      logValuePerStart = Math.log(Math.max(Double.MIN_NORMAL, value) * jobs / starts);
    }

    private void decay(long now) {
      double factor = ExponentialDecay.factor(decayedAt, now, TIME_CONSTANT_MICROS);
      jobs *= factor;
      starts *= factor;
      decayedAt = now;
    }

    /** Returns the fraction of the class whose value per start is above a threshold. */
    private double shareAbove(double threshold) {
      return Math.max(0, Math.min(1, (logValuePerStart - threshold) / LOG_SPREAD + 0.5));
    }
  }

  private final Map<String, ClassStats> statsByClass = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Records a new job and returns whether it is admitted.
   *
   * @param value the value of a job of its class
   * @param tasks the number of tasks of the job
   * @param share the share of all starts to admit, from 0 to 1
   */
  public boolean admit(String requestClass, double value, int tasks, double share, long now) {
    ClassStats stats = statsByClass.computeIfAbsent(requestClass, name -> new ClassStats());
    stats.add(value, tasks, now);
    if (statsByClass.size() > MAX_CLASSES) {
      statsByClass.remove(statsByClass.keySet().iterator().next());
    }
    if (share >= 1) {
      stats.credit = 0;
      return true;
    }
    stats.credit += admittedShare(stats, share, now);
    if (stats.credit < 1) {
      return false;
    }
    stats.credit -= 1;
    return true;
  }

  /** Returns the fraction of the jobs of a class to admit. */
  private double admittedShare(ClassStats stats, double share, long now) {
    double evenShare = EVEN_SHARE * share;
    double selectiveShare = (share - evenShare) / (1 - evenShare);
    return evenShare + (1 - evenShare) * stats.shareAbove(threshold(selectiveShare, now));
  }

  /**
   * Returns the logarithm of the value per start above which the given share of all starts lies.
   */
  private double threshold(double share, long now) {
    double low = Double.POSITIVE_INFINITY;
    double high = Double.NEGATIVE_INFINITY;
    for (ClassStats each : statsByClass.values()) {
      each.decay(now);
      low = Math.min(low, each.logValuePerStart - LOG_SPREAD / 2);
      high = Math.max(high, each.logValuePerStart + LOG_SPREAD / 2);
    }
    for (int i = 0; i < BISECTION_STEPS; i++) {
      double middle = (low + high) / 2;
      if (shareAbove(middle) > share) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return (low + high) / 2;
  }

  private double shareAbove(double threshold) {
    double above = 0;
    double all = 0;
    for (ClassStats each : statsByClass.values()) {
      above += each.starts * each.shareAbove(threshold);
      all += each.starts;
    }
    return above / all;
  }
}
