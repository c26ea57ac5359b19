package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.Resources;

/** Workers whose capacity shrinks and grows again while they run. */
class ChangingCapacityTest {

  private static final long SETTLE = 60 * SECOND;

  private static void offer(DispatchFleet fleet, double durableShare, long seed, long end) {
    new DispatchLoad(fleet, DispatchLoad.reviews(0.5), List.of(), seed)
        .withDurableShare(durableShare)
        .offerUntil(end);
  }

  /** Shrinks a worker, also below what runs there, and lets it grow again after a time. */
  private static void shrink(DispatchFleet fleet, LeasedWorker worker, double share, long micros) {
    Resources whole = worker.info().capacity();
    fleet.setCapacity(worker, scaled(whole, share));
    fleet.time().after(micros, () -> fleet.setCapacity(worker, whole));
  }

  private static Resources scaled(Resources whole, double share) {
    return new Resources((long) (share * whole.cpuMillis()), (long) (share * whole.memoryMib()), 0);
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void noStartExceedsTheCapacityOfAnUnguardedWorker(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    fleet.workers().forEach(worker -> worker.unguarded = true);
    long end = fleet.time().now() + 20 * SECOND;
    offer(fleet, 0.5, seed, end);
    SplittableRandom random = new SplittableRandom(seed);
    while (fleet.time().now() < end) {
      fleet.runFor(random.nextLong(6 * SECOND));
      if (random.nextInt(4) == 0) {
        fleet.elect();
      }
      for (LeasedWorker worker : fleet.workers()) {
        if (random.nextInt(3) == 0) {
          shrink(fleet, worker, random.nextDouble(), 6 * SECOND);
        }
      }
      fleet.runFor(7 * SECOND);
    }
    fleet.runFor(SETTLE);
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.callers().unfinished()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.openJobs()).isEmpty();
  }

  /** Starts are on their way, runs are being stopped, and leaders change, while workers shrink. */
  @Property(tries = 20, shrinking = ShrinkingMode.OFF, seed = "20261205")
  void noStartExceedsTheCapacityWhileRunsStopAndLeadersChange(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    fleet.workers().forEach(worker -> worker.unguarded = true);
    long end = fleet.time().now() + 20 * SECOND;
    new DispatchLoad(fleet, DispatchLoad.reviews(1.2), List.of(), seed)
        .withDurableShare(0.8)
        .offerUntil(end);
    SplittableRandom random = new SplittableRandom(seed);
    Set<LeasedWorker> whole = new HashSet<>(fleet.workers());
    while (fleet.time().now() < end) {
      fleet.runFor(random.nextLong(50_000, 300_000));
      disturb(fleet, whole, random);
    }
    Disturbances.end(fleet);
    fleet.runFor(SETTLE);
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.callers().unfinished()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.openJobs()).isEmpty();
  }

  private static void disturb(
      DispatchFleet fleet, Set<LeasedWorker> whole, SplittableRandom random) {
    List<LeasedWorker> workers = fleet.workers();
    LeasedWorker one = workers.get(random.nextInt(workers.size()));
    switch (random.nextInt(6)) {
      case 0, 1 -> cancelLatest(fleet, 3);
      case 2, 3 -> {
        if (whole.remove(one)) {
          shrink(fleet, one, random.nextDouble(), 9 * SECOND);
        }
      }
      case 4 -> {
        // What it says of its capacity is heard late.
        one.unlisted = true;
        fleet.time().after(random.nextLong(3 * SECOND), () -> one.unlisted = false);
      }
      default -> Disturbances.disturb(fleet, random);
    }
  }

  private static void cancelLatest(DispatchFleet fleet, int count) {
    fleet.callers().accepted().stream()
        .sorted(Comparator.comparing(JobId::value).reversed())
        .limit(count)
        .forEach(fleet::cancel);
  }

  /** Workers that had shrunk while the store was away were started on as if they had not. */
  @Property(tries = 10, shrinking = ShrinkingMode.OFF, seed = "20261205")
  void noStartExceedsTheCapacityThatTheStoreCouldNotTell(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    fleet.workers().forEach(worker -> worker.unguarded = true);
    long end = fleet.time().now() + 16 * SECOND;
    List<DispatchLoad.Kind> kinds =
        DispatchLoad.reviews(0.5).stream().map(DispatchLoad.Kind::unguarded).toList();
    new DispatchLoad(fleet, kinds, List.of(), seed).withDurableShare(0.3).offerUntil(end);
    fleet.runFor(2 * SECOND);
    fleet.setStoreDown(true);
    fleet.runFor(SECOND);
    fleet.workers().forEach(worker -> shrink(fleet, worker, 0.5, 9 * SECOND));
    fleet.runFor(7 * SECOND);
    fleet.setStoreDown(false);
    fleet.runFor(SETTLE);
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.callers().unfinished()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.openJobs()).isEmpty();
  }

  /** Jobs that need more than any worker has at the moment were failed. */
  @Example
  void noJobFailsWhileAllWorkersAreSmaller() {
    DispatchFleet fleet = Fleets.dispatching(3);
    shrinkAllForThreeSeconds(fleet, () -> {});
    assertNoJobFailed(fleet);
  }

  /** The new leader failed them, as it knew none of the larger capacities. */
  @Example
  void noJobFailsUnderLeaderElectedWhileAllWorkersAreSmaller() {
    DispatchFleet fleet = Fleets.dispatching(3);
    shrinkAllForThreeSeconds(fleet, fleet::elect);
    assertNoJobFailed(fleet);
  }

  private static void shrinkAllForThreeSeconds(DispatchFleet fleet, Runnable whileSmaller) {
    offer(fleet, 0.5, 4, fleet.time().now() + 12 * SECOND);
    fleet.runFor(3 * SECOND);
    fleet.workers().forEach(worker -> shrink(fleet, worker, 0.3, 3 * SECOND));
    fleet.runFor(SECOND);
    whileSmaller.run();
    fleet.runFor(SETTLE);
  }

  private static void assertNoJobFailed(DispatchFleet fleet) {
    assertThat(fleet.breaches()).isEmpty();
    assertThat(fleet.callers().unfinished()).isEmpty();
    assertThat(fleet.callers().count(JobStatus.FAILED)).isEqualTo(0);
    assertThat(fleet.ends().values().stream().filter(e -> e.outcome() == JobOutcome.FAILED).count())
        .isEqualTo(0);
  }
}
