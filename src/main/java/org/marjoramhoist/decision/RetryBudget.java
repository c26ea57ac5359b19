package org.marjoramhoist.decision;

import java.util.HashMap;
import java.util.Map;
import org.marjoramhoist.model.TeamId;

/**
 * Limits how many repeated starts each team may cause, as a part of its first starts.
 *
 * <p>Confined to one thread.
 */
final class RetryBudget {

  private static final double PER_START = 0.1;
  private static final double RESERVE = 10;

  private final Map<TeamId, Double> tokens = new HashMap<>();

  /** Takes in a first start, which earns a part of a repeated one. */
  void earn(TeamId team) {
    tokens.merge(team, RESERVE, (held, full) -> Math.min(full, held + PER_START));
  }

  /** Takes a repeated start out of the team's budget, if it holds one. */
  boolean spend(TeamId team) {
    double held = tokens.getOrDefault(team, RESERVE);
    if (held < 1) {
      return false;
    }
    tokens.put(team, held - 1);
    return true;
  }
}
