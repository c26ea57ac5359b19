package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.ServedShares.CallerGroup;

/** Simulates caller groups competing for capacity that is allocated by value per unit of work. */
class ServedSharesTest {

  private static final long STEP_MICROS = 20_000;
  private static final long SECOND = 1_000_000;
  private static final long TIMEOUT_MICROS = SECOND / 2;
  private static final long STEADY_MICROS = 30 * SECOND;
  private static final long SURGE_MICROS = 5 * SECOND;
  private static final double CAPACITY_PER_STEP = 16.5;
  private static final double JOBS_PER_STEP = 5;

  private static final CallerGroup A = new CallerGroup("a", "check");
  private static final CallerGroup B = new CallerGroup("b", "check");
  private static final CallerGroup C = new CallerGroup("c", "check");

  private record Waiting(CallerGroup group, long arrivedAt, double value) {}

  /** A queue of jobs with one unit of work each, sorted by value times weight. */
  private static final class Queue {
    private final boolean fair;
    private final ServedShares shares = new ServedShares(0);
    private final List<Waiting> waiting = new ArrayList<>();
    private final Map<CallerGroup, Double> demanded =
        new TreeMap<>(Comparator.comparing(CallerGroup::toString));
    private final Map<CallerGroup, Double> served =
        new TreeMap<>(Comparator.comparing(CallerGroup::toString));
    private double freeCapacity;
    private long now;
    private int arrived;

    private Queue(boolean fair) {
      this.fair = fair;
    }

    private void run(long micros, Map<CallerGroup, Double> jobsPerStep) {
      demanded.clear();
      served.clear();
      for (long end = now + micros; now < end; now += STEP_MICROS) {
        jobsPerStep.forEach(this::arrive);
        waiting.removeIf(job -> now - job.arrivedAt() > TIMEOUT_MICROS);
        waiting.sort(Comparator.comparingDouble(this::rank));
        for (freeCapacity += CAPACITY_PER_STEP;
            freeCapacity >= 1 && !waiting.isEmpty();
            freeCapacity--) {
          serve(waiting.remove(0));
        }
        freeCapacity = Math.min(freeCapacity, CAPACITY_PER_STEP);
      }
    }

    private void arrive(CallerGroup group, double jobs) {
      for (int i = 0; i < jobs; i++) {
        // The values vary as much as those of jobs of one request class.
        double value = 0.85 + 0.6 * Math.floorMod(arrived++ * 37, 100) / 100;
        waiting.add(new Waiting(group, now, value));
        shares.recordDemand(group, 1, now);
        demanded.merge(group, 1.0, Double::sum);
      }
    }

    private double rank(Waiting job) {
      return -job.value()
          * (fair ? FairShareWeights.weightOf(shares.serviceRatio(job.group(), now)) : 1);
    }

    private void serve(Waiting job) {
      shares.recordServed(job.group(), 1, now);
      served.merge(job.group(), 1.0, Double::sum);
    }

    private double servedShare(CallerGroup group) {
      return served.get(group) / demanded.get(group);
    }
  }

  private static Queue afterSurgeOfA(boolean fair) {
    Queue queue = new Queue(fair);
    queue.run(STEADY_MICROS, Map.of(A, JOBS_PER_STEP, B, JOBS_PER_STEP, C, JOBS_PER_STEP));
    queue.run(SURGE_MICROS, Map.of(A, 3 * JOBS_PER_STEP, B, JOBS_PER_STEP, C, JOBS_PER_STEP));
    return queue;
  }

  /**
   * Without fair shares, a group with triple demand would take a third of the capacity of the
   * others.
   */
  @Test
  void surgeOfOneGroupDoesNotReduceServiceOfOthers() {
    Queue queue = afterSurgeOfA(true);
    assertThat(queue.servedShare(B)).isAtLeast(0.9);
    assertThat(queue.servedShare(C)).isAtLeast(0.9);
    assertThat(afterSurgeOfA(false).servedShare(B)).isLessThan(0.8);
  }

  /** Strict shares would leave capacity unused. */
  @Test
  void unusedCapacityIsRedistributed() {
    Queue queue = afterSurgeOfA(true);
    double total = queue.served.values().stream().mapToDouble(each -> each).sum();
    assertThat(total).isAtLeast(0.98 * CAPACITY_PER_STEP * SURGE_MICROS / STEP_MICROS);
    assertThat(queue.servedShare(A)).isAtLeast(0.4);
  }

  /** A class without previous demand must not take the capacity of others with a sudden burst. */
  @Test
  void burstOfOneClassDoesNotReduceServiceOfOthers() {
    Queue queue = new Queue(true);
    CallerGroup burst = new CallerGroup("a", "burst");
    queue.run(STEADY_MICROS, Map.of(A, JOBS_PER_STEP, B, JOBS_PER_STEP));
    queue.run(SURGE_MICROS, Map.of(A, JOBS_PER_STEP, B, JOBS_PER_STEP, burst, 4 * JOBS_PER_STEP));
    assertThat(queue.servedShare(A)).isAtLeast(0.9);
    assertThat(queue.servedShare(B)).isAtLeast(0.9);
    assertThat(queue.servedShare(burst)).isAtLeast(0.25);
  }

  /** A group must not be starved permanently because it was once served more than others. */
  @Test
  void groupsAreServedEquallyUnderOverload() {
    Queue queue = new Queue(true);
    queue.run(
        STEADY_MICROS, Map.of(A, 2 * JOBS_PER_STEP, B, 2 * JOBS_PER_STEP, C, 2 * JOBS_PER_STEP));
    assertThat(queue.servedShare(A)).isWithin(0.05).of(queue.servedShare(B));
    assertThat(queue.servedShare(A)).isWithin(0.05).of(queue.servedShare(C));
  }

  /** Without a prior, the first jobs of a group would get the maximum weight. */
  @Test
  void groupWithLittleHistoryCountsAsServed() {
    ServedShares shares = new ServedShares(0);
    assertThat(shares.servedShare(A, 0)).isEqualTo(1);
    shares.recordDemand(A, 1_000, 0);
    assertThat(shares.servedShare(A, 0)).isAtLeast(0.8);
  }

  /** Without decay, groups that no longer submit jobs would be reported as underserved forever. */
  @Test
  void idleGroupsExpire() {
    ServedShares shares = new ServedShares(0);
    for (int i = 0; i < 100; i++) {
      shares.recordDemand(A, 1_000, i * STEP_MICROS);
    }
    long now = 100 * STEP_MICROS;
    assertThat(shares.servedShare(A, now)).isLessThan(0.1);
    assertThat(shares.servedShares(now)).containsKey(A);
    assertThat(shares.servedShare(A, now + 60 * SECOND)).isEqualTo(1);
    assertThat(shares.servedShares(now + 60 * SECOND)).isEmpty();
  }

  /** A caller that invents domains or classes must not exhaust the leader's memory. */
  @Test
  void leastRecentlyUsedGroupIsEvicted() {
    ServedShares shares = new ServedShares(0);
    shares.recordDemand(A, 1, 0);
    for (int i = 0; i < 1_000; i++) {
      shares.recordDemand(B, 1, i);
      shares.recordDemand(new CallerGroup("d", "c" + i), 1, i);
    }
    Map<CallerGroup, Double> known = shares.servedShares(1_000);
    assertThat(known.size()).isAtMost(256);
    assertThat(known).containsKey(B);
    assertThat(known).doesNotContainKey(A);
  }

  /** A group whose jobs end late must not be counted as served. */
  @Test
  void workOfLateJobsIsRetracted() {
    ServedShares shares = new ServedShares(0);
    for (int i = 0; i < 100; i++) {
      shares.recordDemand(A, 1, 0);
      shares.recordServed(A, 1, 0);
    }
    assertThat(shares.servedShare(A, SECOND)).isEqualTo(1);
    for (int i = 0; i < 50; i++) {
      shares.retractServed(A, 1, 0, SECOND);
    }
    assertThat(shares.servedShare(A, SECOND)).isWithin(0.03).of(0.52);
  }
}
