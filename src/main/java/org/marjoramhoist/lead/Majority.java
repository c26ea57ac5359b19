package org.marjoramhoist.lead;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Since when more than half of some hosts were heard.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Majority {

  private Majority() {}

  /**
   * Returns the latest time since which more than half of a host and the others were heard.
   *
   * @param heardAt when each host was heard last; those that are not among the others don't count
   * @param others the other hosts, at least one
   * @return the time; empty if too few were ever heard
   */
  static OptionalLong confirmedSince(Map<String, Long> heardAt, Set<String> others) {
    int needed = (others.size() + 1) / 2;
    List<Long> times =
        heardAt.entrySet().stream()
            .filter(each -> others.contains(each.getKey()))
            .map(Map.Entry::getValue)
            .sorted(Comparator.reverseOrder())
            .toList();
    return times.size() < needed ? OptionalLong.empty() : OptionalLong.of(times.get(needed - 1));
  }
}
