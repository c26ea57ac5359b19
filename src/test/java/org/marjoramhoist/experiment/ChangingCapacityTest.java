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
