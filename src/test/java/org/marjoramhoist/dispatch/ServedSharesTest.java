package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.ServedShares.CallerGroup;

/** Groups that compete for a capacity which goes to the jobs of the highest value per work. */
class ServedSharesTest {

  private static final long STEP_MICROS = 20_000;
  private static final long SECOND = 1_000_000;
  private static final long PATIENCE_MICROS = SECOND / 2;
  private static final long CALM_MICROS = 30 * SECOND;
  private static final long WAVE_MICROS = 5 * SECOND;
  private static final double CAPACITY = 16.5;
  private static final double LEVEL = 5;

  private static final CallerGroup A = new CallerGroup("a", "check");
  private static final CallerGroup B = new CallerGroup("b", "check");
  private static final CallerGroup C = new CallerGroup("c", "check");

  private record Waiting(CallerGroup group, long arrivedAt, double value) {}

  /** A queue of jobs of one unit of work, whose order is by value times weight. */
  private static final class Queue {
    private final boolean fair;
    private final ServedShares shares = new ServedShares(0);
    private final List<Waiting> waiting = new ArrayList<>();
    private final Map<CallerGroup, Double> asked =
        new TreeMap<>(Comparator.comparing(CallerGroup::toString));
    private final Map<CallerGroup, Double> served =
        new TreeMap<>(Comparator.comparing(CallerGroup::toString));
    private double room;
    private long now;
    private int arrived;

    private Queue(boolean fair) {
      this.fair = fair;
    }

    private void run(long micros, Map<CallerGroup, Double> jobsPerStep) {
      asked.clear();
      served.clear();
      for (long end = now + micros; now < end; now += STEP_MICROS) {
        jobsPerStep.forEach(this::arrive);
        waiting.removeIf(job -> now - job.arrivedAt() > PATIENCE_MICROS);
        waiting.sort(Comparator.comparingDouble(this::rank));
        for (room += CAPACITY; room >= 1 && !waiting.isEmpty(); room--) {
          serve(waiting.remove(0));
        }
        room = Math.min(room, CAPACITY);
      }
    }

    private void arrive(CallerGroup group, double jobs) {
      for (int i = 0; i < jobs; i++) {
        // Values differ as widely as those of jobs of one class do.
        double value = 0.85 + 0.6 * Math.floorMod(arrived++ * 37, 100) / 100;
        waiting.add(new Waiting(group, now, value));
        shares.recordDemand(group, 1, now);
        asked.merge(group, 1.0, Double::sum);
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
      return served.get(group) / asked.get(group);
    }
  }

  private static Queue afterWaveOfA(boolean fair) {
    Queue queue = new Queue(fair);
    queue.run(CALM_MICROS, Map.of(A, LEVEL, B, LEVEL, C, LEVEL));
    queue.run(WAVE_MICROS, Map.of(A, 3 * LEVEL, B, LEVEL, C, LEVEL));
    return queue;
  }

  /** A group that asks for three times as much would take a third of the others' room. */
  @Test
  void waveOfOneGroupLeavesTheOthersWhatTheyHad() {
    Queue queue = afterWaveOfA(true);
    assertThat(queue.servedShare(B)).isAtLeast(0.9);
    assertThat(queue.servedShare(C)).isAtLeast(0.9);
    assertThat(afterWaveOfA(false).servedShare(B)).isLessThan(0.8);
  }

  /** Strict shares would leave capacity unused. */
  @Test
  void whatOthersLeaveIsPassedOn() {
    Queue queue = afterWaveOfA(true);
    double total = queue.served.values().stream().mapToDouble(each -> each).sum();
    assertThat(total).isAtLeast(0.98 * CAPACITY * WAVE_MICROS / STEP_MICROS);
    assertThat(queue.servedShare(A)).isAtLeast(0.4);
  }

  /** A class that was silent has no claim on the room of others when it comes all at once. */
  @Test
  void burstOfOneClassLeavesTheOthersWhatTheyHad() {
    Queue queue = new Queue(true);
    CallerGroup burst = new CallerGroup("a", "burst");
    queue.run(CALM_MICROS, Map.of(A, LEVEL, B, LEVEL));
    queue.run(WAVE_MICROS, Map.of(A, LEVEL, B, LEVEL, burst, 4 * LEVEL));
    assertThat(queue.servedShare(A)).isAtLeast(0.9);
    assertThat(queue.servedShare(B)).isAtLeast(0.9);
    assertThat(queue.servedShare(burst)).isAtLeast(0.25);
  }

  /** A group must not be starved for good because it once was served more than others. */
  @Test
  void groupsAreServedAlikeWhileAllAskForTooMuch() {
    Queue queue = new Queue(true);
    queue.run(CALM_MICROS, Map.of(A, 2 * LEVEL, B, 2 * LEVEL, C, 2 * LEVEL));
    assertThat(queue.servedShare(A)).isWithin(0.05).of(queue.servedShare(B));
    assertThat(queue.servedShare(A)).isWithin(0.05).of(queue.servedShare(C));
  }

  /** The first jobs of a group would get the greatest weight. */
  @Test
  void littleKnownCountsAsServed() {
    ServedShares shares = new ServedShares(0);
    assertThat(shares.servedShare(A, 0)).isEqualTo(1);
    shares.recordDemand(A, 1_000, 0);
    assertThat(shares.servedShare(A, 0)).isAtLeast(0.8);
  }

  /** Groups that are gone would be told as short for ever. */
  @Test
  void groupsAgeOut() {
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

  /** A caller that makes up domains or classes must not fill the leader's memory. */
  @Test
  void leastRecentlyUsedGroupGoesFirst() {
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

  /** A group whose jobs end late would be taken for served. */
  @Test
  void workThatWasOfNoUseIsTakenBack() {
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
