package org.marjoramhoist.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Lets through the share of new jobs that a leader can start, those of the greatest value per start
 * first.
 *
 * <p>The share is that of starts, as these are what a job costs the leader. Each class of request
 * counts as spread around its mean value per start; what lies above a threshold goes through, so
 * classes of equal value go through evenly and small differences in value change little. Confined
 * to one thread.
 */
public final class ValueBasedAdmission {

  /** Bounds the memory; the least recently used class is evicted. */
  private static final int MAX_CLASSES = 64;

  /** Long enough to see several jobs of each class at one host, short enough to follow the load. */
  private static final double TIME_CONSTANT_MICROS = 10_000_000;

  /** What is let through evenly, as a part of the share, so that no class is shut out. */
  private static final double EVEN_SHARE = 0.1;

  /** The ratio between the greatest and the least value of a class, as a logarithm. */
  private static final double LOG_SPREAD = Math.log(2);

  /** Halvings of an interval for the threshold; more change the share by less than a thousandth. */
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
      double left = ExponentialDecay.factor(decayedAt, now, TIME_CONSTANT_MICROS);
      jobs *= left;
      starts *= left;
      decayedAt = now;
    }

    /** Returns what part of the class lies above a threshold. */
    private double shareAbove(double threshold) {
      return Math.max(0, Math.min(1, (logValuePerStart - threshold) / LOG_SPREAD + 0.5));
    }
  }

  private final Map<String, ClassStats> classes = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Takes in a new job and tells whether it may go through.
   *
   * @param value what a job of its class is worth
   * @param tasks how many tasks it has
   * @param share the share of all starts that may go through, from 0 to 1
   */
  public boolean admit(String requestClass, double value, int tasks, double share, long now) {
    ClassStats tally = classes.computeIfAbsent(requestClass, name -> new ClassStats());
    tally.add(value, tasks, now);
    if (classes.size() > MAX_CLASSES) {
      classes.remove(classes.keySet().iterator().next());
    }
    if (share >= 1) {
      tally.credit = 0;
      return true;
    }
    tally.credit += admittedShare(tally, share, now);
    if (tally.credit < 1) {
      return false;
    }
    tally.credit -= 1;
    return true;
  }

  /** Returns the share of the jobs of a class that may go through. */
  private double admittedShare(ClassStats tally, double share, long now) {
    double even = EVEN_SHARE * share;
    double chosen = (share - even) / (1 - even);
    return even + (1 - even) * tally.shareAbove(threshold(chosen, now));
  }

  /** Returns the value per start, as a logarithm, above which the share of all starts lies. */
  private double threshold(double share, long now) {
    double low = Double.POSITIVE_INFINITY;
    double high = Double.NEGATIVE_INFINITY;
    for (ClassStats each : classes.values()) {
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
    for (ClassStats each : classes.values()) {
      above += each.starts * each.shareAbove(threshold);
      all += each.starts;
    }
    return above / all;
  }
}
