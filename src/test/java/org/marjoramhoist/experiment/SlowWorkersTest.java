package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.dispatch.SchedulingPolicy;

/** A quarter of the workers turn six times as slow for some seconds. */
class SlowWorkersTest {

  private static final int SEEDS = 8;
  private static final double SLOWNESS = 6;

  /** The jobs out of time in these histories when the slowest active run alone was judged. */
  private static final int FORMERLY_LATE = 398;

  private static final DispatchPolicy POLICY =
      DispatchFleet.POLICY.withScheduling(
          SchedulingPolicy.DEFAULT.withPlacement(SchedulingPolicy.Placement.SLACK));

  private static void setSlowness(List<LeasedWorker> workers, double factor) {
    for (LeasedWorker worker : workers) {
      worker.setSlowness(factor * DispatchLoad.slownessOf(worker.info().kind()));
    }
  }

  private static int lateJobs(double load, double slowness) {
    int late = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      DispatchFleet fleet = Fleets.dispatching(seed, POLICY);
      new DispatchLoad(fleet, DispatchLoad.reviews(load), List.of(), seed)
          .offerUntil(fleet.time().now() + 10 * SECOND);
      fleet.runFor(2 * SECOND);
      List<LeasedWorker> slow = fleet.workers().subList(0, fleet.workers().size() / 4);
      setSlowness(slow, slowness);
      fleet.runFor(6 * SECOND);
      setSlowness(slow, 1);
      fleet.runFor(20 * SECOND);
      assertThat(fleet.breaches()).isEmpty();
      assertThat(fleet.openJobs()).isEmpty();
      late += (int) fleet.offered().stream().filter(job -> !fleet.isInTime(job)).count();
    }
    return late;
  }

  @Test
  void fewJobsAreLateWhileOthersHaveRoom() {
    assertThat(lateJobs(0.6, SLOWNESS)).isAtMost(FORMERLY_LATE / 3);
  }

  /** Wrong estimates must not make sound workers look slow. */
  @Test
  void hardlyAnyJobIsLateWithoutSlowWorkers() {
    assertThat(lateJobs(0.6, 1)).isAtMost(24);
  }
}
