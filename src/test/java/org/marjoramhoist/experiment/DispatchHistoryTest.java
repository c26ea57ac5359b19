package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.job.JobOutcome;

/** Random histories of a leader and its workers under faults: no task runs twice at a time. */
class DispatchHistoryTest {

  /** Longer than any caller of the load waits; after that nothing may run. */
  private static final long LONGEST_PATIENCE = 60 * SECOND;

  private static DispatchLoad load(DispatchFleet fleet, double factor, long seed) {
    return new DispatchLoad(fleet, DispatchLoad.reviews(factor), List.of(), seed);
  }

  @Example
  void servesCalmLoadWithoutWaste() {
    DispatchFleet fleet = Fleets.dispatching(1);
    load(fleet, 0.6, 2).offerUntil(fleet.time().now() + 10 * SECOND);
    fleet.runFor(20 * SECOND);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(fleet.ends().size()).isAtLeast(400);
    fleet.ends().values().forEach(end -> assertThat(end.outcome()).isEqualTo(JobOutcome.SUCCEEDED));
    assertThat(fleet.doneAgain()).isEqualTo(0);
  }

  /**
   * Histories that failed once: in two a paused leader that woke up ordered runs beside its
   * successor; in one a worker that started again carried out an order that its earlier process had
   * taken; in one a worker that started again had forgotten its fencing token, and obeyed an old
   * leader that was still within its contact time.
   */
  @Example
  void noTaskRunsTwiceInHistoriesThatFailedOnce() {
    noTaskRunsTwiceAtTheSameTime(-48_328);
    noTaskRunsTwiceAtTheSameTime(18_566_297_440_523L);
    noTaskRunsTwiceAtTheSameTime(23);
    noTaskRunsTwiceAtTheSameTime(21_804);
  }

  /** A new leader took the list of workers for complete while entries in it had lapsed. */
  @Example
  void noTaskRunsTwiceThoughWorkersDropOutOfTheListBeforeAnElection() {
    DispatchFleet fleet = Fleets.dispatching(1);
    load(fleet, 0.9, 2).offerUntil(fleet.time().now() + 4 * SECOND);
    fleet.runFor(SECOND);
    List<LeasedWorker> some = fleet.workers().subList(0, 8);
    some.forEach(worker -> worker.unlisted = true);
    fleet.elect();
    fleet.runFor(2 * SECOND);
    some.forEach(worker -> worker.unlisted = false);
    fleet.runFor(LONGEST_PATIENCE);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(fleet.openJobs()).isEmpty();
  }

  /** As workers' entries lapse and come back at any time. */
  @Property(tries = 40, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void noTaskRunsTwiceWhileWorkersDropOutOfTheList(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    long end = fleet.time().now() + 8 * SECOND;
    load(fleet, 0.9, seed).offerUntil(end);
    SplittableRandom random = new SplittableRandom(seed);
    while (fleet.time().now() < end) {
      fleet.runFor(random.nextLong(50_000, 500_000));
      if (random.nextBoolean()) {
        Disturbances.lapseEntries(fleet, random);
      } else {
        Disturbances.disturb(fleet, random);
      }
    }
    Disturbances.end(fleet);
    fleet.runFor(LONGEST_PATIENCE);
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.openJobs()).isEmpty();
  }

  /** A domain is drained and restored at any time, whoever leads and whatever is lost. */
  @Property(tries = 20, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void nothingStartsInDrainedDomain(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    long end = fleet.time().now() + 24 * SECOND;
    load(fleet, 0.5, seed).offerUntil(end);
    SplittableRandom random = new SplittableRandom(seed);
    while (fleet.time().now() < end) {
      fleet.setDrained(DispatchLoad.FAILURE_DOMAINS.get(0), random.nextInt(4) != 0);
      long next = fleet.time().now() + random.nextLong(SECOND, 9 * SECOND);
      while (fleet.time().now() < next) {
        fleet.runFor(random.nextLong(50_000, 700_000));
        Disturbances.disturb(fleet, random);
      }
    }
    Disturbances.end(fleet);
    fleet.setDrained(DispatchLoad.FAILURE_DOMAINS.get(0), false);
    fleet.runFor(LONGEST_PATIENCE);
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.openJobs()).isEmpty();
  }

  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void noTaskRunsTwiceAtTheSameTime(@ForAll long seed) {
    noTaskRunsTwice(Fleets.dispatching(seed), List.of(), seed);
  }

  /** Jobs that wait for a rack may find it cut off, and the window widen while answers get lost. */
  @Property(tries = 30, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void noTaskRunsTwiceWithPlacementBySlack(@ForAll long seed) {
    DispatchPolicy policy =
        DispatchFleet.POLICY.withScheduling(
            SchedulingPolicy.DEFAULT.withPlacement(SchedulingPolicy.Placement.SLACK));
    noTaskRunsTwice(Fleets.dispatching(seed, policy), List.of("r-0", "r-1", "r-2"), seed);
  }

  private static void noTaskRunsTwice(DispatchFleet fleet, List<String> racks, long seed) {
    long end = fleet.time().now() + 8 * SECOND;
    new DispatchLoad(fleet, DispatchLoad.reviews(0.9), racks, seed).offerUntil(end);
    SplittableRandom random = new SplittableRandom(seed);
    Disturbances.disturbUntil(end, fleet, random);
    fleet.runFor(LONGEST_PATIENCE);
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.openJobs()).isEmpty();
    fleet.workers().forEach(worker -> assertThat(worker.runningCount()).isEqualTo(0));
  }
}
