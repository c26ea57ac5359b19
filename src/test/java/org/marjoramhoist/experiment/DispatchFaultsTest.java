package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobOutcome;

/** What faulty workers cost the jobs of a steady load. */
class DispatchFaultsTest {

  private static final long SECOND = 1_000_000;

  private final DispatchFleet fleet = new DispatchFleet(11);

  private void offer(double factor, long seconds) {
    DispatchLoad.addWorkers(fleet);
    fleet.elect();
    fleet.runFor(SECOND);
    new DispatchLoad(fleet, DispatchLoad.reviews(factor), List.of(), 7)
        .offerUntil(fleet.time().now() + seconds * SECOND);
  }

  private double share(JobOutcome outcome) {
    long count = fleet.ends().values().stream().filter(e -> e.outcome() == outcome).count();
    return (double) count / fleet.ends().size();
  }

  private List<LeasedWorker> some() {
    return fleet.workers().subList(0, 3);
  }

  @Test
  void jobsSucceedThoughSomeWorkersStandStill() {
    offer(0.5, 8);
    fleet.runFor(SECOND);
    some().forEach(worker -> worker.hangs = true);
    fleet.runFor(30 * SECOND);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(share(JobOutcome.SUCCEEDED)).isAtLeast(0.99);
  }

  @Test
  void jobsSucceedThoughSomeWorkersFailAllTheyStart() {
    offer(0.5, 8);
    fleet.runFor(SECOND);
    some().forEach(worker -> worker.failsAll = true);
    fleet.runFor(30 * SECOND);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(share(JobOutcome.SUCCEEDED)).isAtLeast(0.99);
  }

  @Test
  void jobsSucceedThoughSomeWorkersAreCutOff() {
    offer(0.5, 8);
    fleet.runFor(SECOND);
    some().forEach(worker -> worker.cutOff = true);
    fleet.runFor(30 * SECOND);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(share(JobOutcome.SUCCEEDED)).isAtLeast(0.95);
  }

  @Test
  void slowWorkersAreLeftAsideWhileOthersHaveRoom() {
    offer(0.5, 8);
    fleet.runFor(SECOND);
    some().forEach(worker -> worker.setSlowness(10));
    fleet.runFor(30 * SECOND);
    assertThat(fleet.breaches()).isEmpty();
    assertThat(fleet.shareInTime()).isAtLeast(0.975);
    assertThat(share(JobOutcome.SUCCEEDED)).isAtLeast(0.99);
  }
}
