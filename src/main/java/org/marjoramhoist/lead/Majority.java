package org.marjoramhoist.lead;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Computes since when a majority of hosts has confirmed.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Majority {

  private Majority() {}

  /**
   * Returns the latest time since which more than half of all hosts, including this one, confirmed.
   *
   * @param confirmedAt the time of each host's last confirmation; hosts that are not in {@code
   *     others} are ignored
   * @param others the other hosts, at least one
   * @return the time; empty if too few hosts have confirmed
   */
  static OptionalLong confirmedSince(Map<String, Long> confirmedAt, Set<String> others) {
    int needed = (others.size() + 1) / 2;
    List<Long> times =
        confirmedAt.entrySet().stream()
            .filter(each -> others.contains(each.getKey()))
            .map(Map.Entry::getValue)
            .sorted(Comparator.reverseOrder())
            .toList();
    return times.size() < needed ? OptionalLong.empty() : OptionalLong.of(times.get(needed - 1));
  }
}
