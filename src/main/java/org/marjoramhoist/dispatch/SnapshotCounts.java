package org.marjoramhoist.dispatch;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts workers, their capacity and their runs for a snapshot.
 *
 * <p>Confined to one thread.
 */
final class SnapshotCounts {

  private int listed;
  private int synced;
  private int usable;
  private int slow;
  private long totalCpu;
  private long freeCpu;
  private long usableFreeCpu;
  private int foreign;
  private final Map<Run.Phase, Integer> phases = new EnumMap<>(Run.Phase.class);

  SnapshotCounts(Collection<Worker> workers, long now) {
    for (Worker worker : workers) {
      countRuns(worker);
      if (worker.listed) {
        countCapacity(worker, now);
      }
    }
  }

  private void countRuns(Worker worker) {
    foreign += worker.foreignRuns.size();
    for (Run run : worker.runs.values()) {
      phases.merge(run.phase, 1, Integer::sum);
    }
  }

  private void countCapacity(Worker worker, long now) {
    listed++;
    synced += worker.synced ? 1 : 0;
    slow += worker.observedSlowness > 1 ? 1 : 0;
    totalCpu += worker.info().capacity().cpuMillis();
    freeCpu += worker.freeResources.cpuMillis();
    if (worker.isUsable(now)) {
      usable++;
      usableFreeCpu += worker.freeResources.cpuMillis();
    }
  }

  private int count(Run.Phase phase) {
    return phases.getOrDefault(phase, 0);
  }

  DispatchSnapshot.Workers workers() {
    return new DispatchSnapshot.Workers(
        listed, synced, usable, slow, totalCpu, freeCpu, usableFreeCpu);
  }

  DispatchSnapshot.Runs runs(StartWindow window) {
    return new DispatchSnapshot.Runs(
        count(Run.Phase.STARTING),
        count(Run.Phase.RUNNING),
        count(Run.Phase.STOPPING),
        count(Run.Phase.STOPPED),
        foreign,
        window.size(),
        window.silentCount());
  }
}
