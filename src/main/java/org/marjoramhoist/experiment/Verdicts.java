package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Compares figures with the bounds of their scenario and with the plain dispatchers.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Verdicts {

  private static final double TOLERANCE = 1e-9;

  private Verdicts() {}

  /** Returns the bounds that the product missed, in words. */
  static List<String> of(
      Scenario scenario, Map<String, PolicyBench.Figures> byPolicy, String product) {
    List<String> missed = new ArrayList<>();
    PolicyBench.Figures own = byPolicy.get(product);
    Scenario.Bounds bounds = scenario.bounds();
    atMost(missed, scenario, "p50", own.p50(), bounds.p50());
    atMost(missed, scenario, "p99", own.p99(), bounds.p99());
    atMost(missed, scenario, "waste", own.waste(), bounds.waste());
    if (own.fairness() < bounds.fairness()) {
      missed.add(text(scenario, "fairness", own.fairness(), "at least", bounds.fairness()));
    }
    for (String breach : own.breaches()) {
      missed.add(scenario.name() + ": " + breach);
    }
    byPolicy.forEach(
        (name, other) -> {
          if (!name.equals(product)) {
            atMost(missed, scenario, "p50 against " + name, own.p50(), other.p50());
            atMost(missed, scenario, "p99 against " + name, own.p99(), other.p99());
            atMost(missed, scenario, "waste against " + name, own.waste(), other.waste());
          }
        });
    return missed;
  }

  private static void atMost(
      List<String> missed, Scenario scenario, String what, double value, double bound) {
    if (!(value <= bound + TOLERANCE) && !Double.isNaN(bound)) {
      missed.add(text(scenario, what, value, "at most", bound));
    }
  }

  private static String text(
      Scenario scenario, String what, double value, String relation, double bound) {
    return String.format(
        Locale.ROOT, "%s: %s is %.4f, %s %.4f", scenario.name(), what, value, relation, bound);
  }
}
