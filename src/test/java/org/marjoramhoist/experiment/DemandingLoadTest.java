package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.dispatch.SchedulingPolicy.Placement;

/** The loads of two customers on their workers, below the capacity. */
class DemandingLoadTest {

  /** Callers see a fault when more than 3 in 100 jobs are late while capacity is free. */
  private static final double LEAST_IN_TIME = 0.97;

  /** Less in use while jobs wait means that they wait for something else than room. */
  private static final double LEAST_USE = 0.85;

  private static final long OFFERED = 8 * SECOND;
  private static final long LONGEST_PATIENCE = 20 * SECOND;

  private static DispatchFleet serve(DemandingSite site, double share, long seed) {
    DispatchFleet fleet = site.fleet(SchedulingPolicy.DEFAULT.withPlacement(Placement.SLACK), seed);
    fleet.runFor(SECOND);
    site.load(fleet, share, seed).offerUntil(fleet.time().now() + OFFERED);
    fleet.runFor(OFFERED + LONGEST_PATIENCE);
    return fleet;
  }

  private static void assertServedInTime(DemandingSite site, double share) {
    DispatchFleet fleet = serve(site, share, 1);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(fleet.openJobs()).isEmpty();
    FluidBound bound = new FluidBound(site.capacityCores());
    assertThat(bound.shareInTime(fleet.offered())).isEqualTo(1.0);
    assertThat(fleet.shareInTime()).isAtLeast(LEAST_IN_TIME);
  }

  /** Wide jobs went far from their data to slow workers, as fast ones were in use. */
  @Test
  void simulationsAreInTimeAtSevenTenthsOfTheCapacity() {
    assertServedInTime(DemandingSite.SIMULATIONS, 0.7);
  }

  /** Workers of very different speeds: the fast ones must be free for jobs that are far. */
  @Test
  void claimsAreInTimeAtEightTenthsOfTheCapacity() {
    assertServedInTime(DemandingSite.CLAIMS, 0.8);
  }

  /** A rule that lets jobs wait for better workers must not leave the room of others idle. */
  @Test
  void capacityIsInUseWhileJobsWait() {
    assertThat(serve(DemandingSite.SIMULATIONS, 0.9, 1).usage().whileWaiting())
        .isAtLeast(LEAST_USE);
    assertThat(serve(DemandingSite.CLAIMS, 0.9, 1).usage().whileWaiting()).isAtLeast(LEAST_USE);
  }
}
