package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.marjoramhoist.job.JobOutcome;

/**
 * Random histories of a leader, of workers that are cut off from it and of their own leader: no
 * task runs twice at a time, whatever both do around the cut and its end.
 */
class DomainCutHistoryTest {

  private static final long LONGEST_PATIENCE = 60 * SECOND;

  private static Set<String> firstWorkers(DispatchFleet fleet, int count) {
    return fleet.workers().subList(0, count).stream()
        .map(worker -> worker.info().id())
        .collect(Collectors.toSet());
  }

  private static DispatchLoad load(DispatchFleet fleet, double factor, long seed) {
    return new DispatchLoad(fleet, DispatchLoad.reviews(factor), List.of(), seed);
  }

  private static DispatchLoad loadWithStoredJobs(DispatchFleet fleet, double factor, long seed) {
    return load(fleet, factor, seed).withDurableShare(0.5);
  }

  @Example
  void cutWorkersServeTheirCallers() {
    DispatchFleet fleet = Fleets.dispatching(1);
    long begin = fleet.time().now();
    load(fleet, 0.5, 2).offerUntil(begin + 8 * SECOND);
    fleet.runFor(2 * SECOND);
    fleet.cutOff(firstWorkers(fleet, fleet.workers().size() / 3));
    fleet.runFor(SECOND);
    fleet.electLocal();
    fleet.runFor(3 * SECOND);
    assertThat(fleet.hasLocalLeader()).isTrue();
    fleet.heal(100_000);
    fleet.runFor(LONGEST_PATIENCE);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(fleet.openJobs()).isEmpty();
    long inTime =
        fleet.ends().values().stream()
            .filter(end -> end.outcome() == JobOutcome.SUCCEEDED)
            .filter(end -> end.at() > begin + 3_500_000 && end.at() < begin + 6 * SECOND)
            .count();
    assertThat(inTime).isAtLeast(80);
  }

  /** Hosts that lost their leader while the leader still reaches their workers do no harm. */
  @Example
  void leaderOfWorkersThatAreNotCutOffGivesUp() {
    DispatchFleet fleet = Fleets.dispatching(1);
    load(fleet, 0.8, 2).offerUntil(fleet.time().now() + 6 * SECOND);
    fleet.runFor(2 * SECOND);
    fleet.cutHostsOff(firstWorkers(fleet, fleet.workers().size() / 3));
    fleet.electLocal();
    fleet.runFor(2 * SECOND);
    assertThat(fleet.hasLocalLeader()).isFalse();
    fleet.heal(0);
    fleet.runFor(LONGEST_PATIENCE);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(fleet.openJobs()).isEmpty();
    assertThat(fleet.doneAgain()).isEqualTo(0);
  }

  /** A leader of the cut workers that stops hands over again and again, near the peak. */
  @Example
  void cutWorkersServeTheirCallersWhileTheirLeadersStop() {
    DispatchFleet fleet = Fleets.dispatching(1);
    long begin = fleet.time().now();
    load(fleet, 0.5, 2).offerUntil(begin + 8 * SECOND);
    fleet.runFor(2 * SECOND);
    fleet.cutOff(firstWorkers(fleet, fleet.workers().size() / 3));
    fleet.runFor(SECOND);
    fleet.electLocal();
    for (int i = 0; i < 3; i++) {
      fleet.runFor(1_200_000);
      fleet.handOverLocal();
    }
    fleet.runFor(1_200_000);
    assertThat(fleet.hasLocalLeader()).isTrue();
    fleet.heal(100_000);
    fleet.runFor(LONGEST_PATIENCE);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(fleet.openJobs()).isEmpty();
    long inTime =
        fleet.ends().values().stream()
            .filter(end -> end.outcome() == JobOutcome.SUCCEEDED)
            .filter(end -> end.at() > begin + 3_500_000 && end.at() < begin + 6 * SECOND)
            .count();
    assertThat(inTime).isAtLeast(70);
  }

  /**
   * Guards against a domain's leader that extends leases the partition's leader takes for expired:
   * tasks that were done behind the cut started again outside, and their ends were noted later.
   */
  @Example
  void tasksThatAreDoneBehindTheCutDoNotRunAgain() {
    DispatchFleet fleet = Fleets.dispatching(1);
    loadWithStoredJobs(fleet, 0.8, 2).offerUntil(fleet.time().now() + 6 * SECOND);
    fleet.runFor(2 * SECOND);
    fleet.cutOff(firstWorkers(fleet, fleet.workers().size() / 3));
    fleet.runFor(600_000);
    fleet.electLocal();
    fleet.runFor(2_500_000);
    fleet.heal(0);
    fleet.runFor(LONGEST_PATIENCE);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(fleet.callers().unfinished()).isEmpty();
  }

  /**
   * Guards against two leaders that fill the same workers: hosts that only are cut off from the
   * others find the workers of their domain idle, and so does the partition's leader.
   */
  @Property(tries = 40, shrinking = ShrinkingMode.OFF, seed = "20261205")
  void noLeaderFillsUnguardedWorkersOfAnother(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    fleet.workers().forEach(worker -> worker.unguarded = true);
    SplittableRandom random = new SplittableRandom(seed);
    long end = fleet.time().now() + 16 * SECOND;
    new DispatchLoad(fleet, unguarded(0.2), List.of(), seed).offerUntil(end);
    while (fleet.time().now() < end) {
      fleet.runFor(random.nextLong(500_000, 2_500_000));
      Set<String> some = firstWorkers(fleet, random.nextInt(1, fleet.workers().size()));
      if (random.nextBoolean()) {
        fleet.cutOff(some);
      } else {
        fleet.cutHostsOff(some);
      }
      fleet.runFor(random.nextLong(450_000, 900_000));
      fleet.electLocal();
      fleet.runFor(random.nextLong(4 * SECOND));
      fleet.heal(random.nextLong(400_000));
    }
    fleet.runFor(LONGEST_PATIENCE);
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
  }

  private static List<DispatchLoad.Kind> unguarded(double factor) {
    return DispatchLoad.reviews(factor).stream().map(DispatchLoad.Kind::unguarded).toList();
  }

  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261206")
  void noStoredTaskRunsTwiceAroundCuts(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    checkHistory(fleet, loadWithStoredJobs(fleet, 0.8, seed), seed);
  }

  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void noTaskRunsTwiceAroundCuts(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    checkHistory(fleet, load(fleet, 0.8, seed), seed);
  }

  @Property(tries = 30, shrinking = ShrinkingMode.OFF, seed = "20261205")
  void noTaskRunsTwiceAroundCutsNearThePeak(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    checkHistory(fleet, load(fleet, 1.1, seed), seed);
  }

  private static void checkHistory(DispatchFleet fleet, DispatchLoad load, long seed) {
    long end = fleet.time().now() + 10 * SECOND;
    load.offerUntil(end);
    SplittableRandom random = new SplittableRandom(seed);
    while (fleet.time().now() < end) {
      fleet.runFor(random.nextLong(100_000, 700_000));
      step(fleet, random);
    }
    fleet.heal(0);
    Disturbances.end(fleet);
    fleet.runFor(LONGEST_PATIENCE);
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.openJobs()).isEmpty();
    fleet.workers().forEach(worker -> assertThat(worker.runningCount()).isEqualTo(0));
  }

  private static void step(DispatchFleet fleet, SplittableRandom random) {
    int workers = fleet.workers().size();
    switch (random.nextInt(10)) {
      case 0 -> fleet.cutOff(firstWorkers(fleet, random.nextInt(1, workers)));
      case 1, 2 -> fleet.electLocal();
      case 3 -> fleet.heal(random.nextLong(600_000));
      case 4 -> fleet.cutHostsOff(firstWorkers(fleet, random.nextInt(1, workers)));
      case 5 -> fleet.handOverLocal();
      case 7 -> fleet.restartLocal();
      case 6 -> {
        // The cut recurs as soon as it has healed.
        fleet.heal(random.nextLong(200_000));
        fleet.cutOff(firstWorkers(fleet, random.nextInt(1, workers)));
        fleet.electLocal();
      }
      default -> Disturbances.disturb(fleet, random);
    }
  }
}
