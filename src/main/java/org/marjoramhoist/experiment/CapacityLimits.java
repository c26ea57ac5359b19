package org.marjoramhoist.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;

/**
 * The capacities that workers had lately. A smaller one binds a leader only after a time, in which
 * it may not have heard of it.
 *
 * <p>Confined to one thread.
 */
final class CapacityLimits {

  /** The time to settle and one heartbeat of the worker. */
  private static final long BINDING_AFTER = 4_500_000;

  private record Former(Resources capacity, long until) {}

  private final Map<LeasedWorker, Deque<Former>> former = new HashMap<>();

  /** Takes in that a worker had a capacity until now. */
  void changed(LeasedWorker worker, Resources old, long now) {
    former.computeIfAbsent(worker, key -> new ArrayDeque<>()).add(new Former(old, now));
  }

  /** Checks the runs of an unguarded worker after one of them began. */
  void began(LeasedWorker worker, RunRef run, long now, List<String> breaches) {
    Deque<Former> lately = former.getOrDefault(worker, new ArrayDeque<>());
    lately.removeIf(each -> now - each.until() > BINDING_AFTER);
    boolean isOver = worker.needsMoreThan(worker.info().capacity());
    if (worker.unguarded
        && isOver
        && lately.stream().allMatch(each -> worker.needsMoreThan(each.capacity()))) {
      breaches.add("run " + run + " brings worker " + worker.info().id() + " over its capacity");
    }
  }
}
