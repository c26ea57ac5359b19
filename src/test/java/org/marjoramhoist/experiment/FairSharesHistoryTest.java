package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.marjoramhoist.dispatch.SchedulingPolicy;

/** Random histories under overload and faults, with fair shares and measured return times. */
class FairSharesHistoryTest {

  private static final long LONGEST_PATIENCE = 60 * SECOND;
  private static final SchedulingPolicy FAIR =
      new SchedulingPolicy(
          SchedulingPolicy.Placement.FASTEST,
          SchedulingPolicy.Overload.SHED,
          true,
          Map.of(),
          SchedulingPolicy.DEFAULT_LATE_VALUE);

  /** Jobs that are refused and sent again must not run beside their first runs. */
  @Property(tries = 20, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void noTaskRunsTwiceAtTheSameTime(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed, DispatchFleet.POLICY.withScheduling(FAIR));
    long end = fleet.time().now() + 6 * SECOND;
    new DispatchLoad(fleet, DispatchLoad.reviews(1.5), List.of(), seed).offerUntil(end);
    SplittableRandom random = new SplittableRandom(seed);
    Disturbances.disturbUntil(end, fleet, random);
    fleet.runFor(LONGEST_PATIENCE);
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.openJobs()).isEmpty();
    fleet.workers().forEach(worker -> assertThat(worker.runningCount()).isEqualTo(0));
  }
}
