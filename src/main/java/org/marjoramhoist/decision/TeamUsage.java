package org.marjoramhoist.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.TeamId;

/**
 * Counts the tasks that wait or run for each team, here and at the other hosts.
 *
 * <p>Confined to one thread.
 */
final class TeamUsage {

  private final Map<TeamId, Integer> local = new HashMap<>();
  private final Map<HostId, Map<TeamId, Integer>> remote = new HashMap<>();
  private int all;

  /** Adds tasks of a team at this host; a negative number takes them away. */
  void add(TeamId team, int tasks) {
    local.merge(team, tasks, Integer::sum);
    all += tasks;
  }

  /** Takes in what another host has said of its use. */
  void heard(HostId host, Map<TeamId, Integer> use) {
    remote.put(host, use);
  }

  /** Forgets a host that is gone. */
  void forget(HostId host) {
    remote.remove(host);
  }

  /** Returns the tasks of a team at all hosts, as far as is known. */
  int total(TeamId team) {
    int sum = local.getOrDefault(team, 0);
    for (Map<TeamId, Integer> use : remote.values()) {
      sum += use.getOrDefault(team, 0);
    }
    return sum;
  }

  /** Returns the tasks of all teams at this host. */
  int all() {
    return all;
  }

  /** Returns the teams of which this host has at least so many tasks. */
  Map<TeamId, Integer> atLeast(int tasks) {
    Map<TeamId, Integer> found = new TreeMap<>();
    local.forEach(
        (team, count) -> {
          if (count >= tasks) {
            found.put(team, count);
          }
        });
    return found;
  }
}
