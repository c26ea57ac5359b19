package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;

/**
 * Workers that are cut off so that connections are refused, as after a crash; no task is at fault.
 */
class RefusingCutTest {

  private static final long SETTLE = 60 * SECOND;
  private static final long FLAP_PERIOD = 1_400_000;
  private static final int WORKERS_PER_FLAPPING_ONE = 10;

  private static void offer(DispatchFleet fleet, double durableShare, long seed, long end) {
    new DispatchLoad(fleet, DispatchLoad.reviews(0.6), List.of(), seed)
        .withDurableShare(durableShare)
        .offerUntil(end);
  }

  private static void cutDomainOff(DispatchFleet fleet, int domain, long micros) {
    String name = DispatchLoad.FAILURE_DOMAINS.get(domain);
    for (LeasedWorker worker : fleet.workers()) {
      if (worker.info().failureDomain().equals(name)) {
        fleet.refuseConnections(worker, micros);
      }
    }
  }

  private static void cutSomeOff(
      DispatchFleet fleet, int count, long micros, SplittableRandom random) {
    for (int i = 0; i < count; i++) {
      LeasedWorker worker = fleet.workers().get(random.nextInt(fleet.workers().size()));
      fleet.refuseConnections(worker, micros);
    }
  }

  private static void flapUntil(long end, DispatchFleet fleet) {
    for (int i = 0; i < fleet.workers().size(); i += WORKERS_PER_FLAPPING_ONE) {
      flap(end, fleet, fleet.workers().get(i));
    }
  }

  private static void flap(long end, DispatchFleet fleet, LeasedWorker worker) {
    if (fleet.time().now() < end) {
      fleet.restartProcess(worker, FLAP_PERIOD / 2);
      fleet.time().after(FLAP_PERIOD, () -> flap(end, fleet, worker));
    }
  }

  /** Returns the jobs that were shown as failed, with the reason where it is known. */
  private static List<String> failedJobs(DispatchFleet fleet) {
    List<String> failed = new ArrayList<>();
    fleet.ends().entrySet().stream()
        .filter(each -> each.getValue().outcome() == JobOutcome.FAILED)
        .forEach(each -> failed.add(each.getKey() + ": " + each.getValue().reason()));
    fleet.callers().accepted().stream()
        .filter(id -> fleet.callers().status(id) == JobStatus.FAILED)
        .forEach(id -> failed.add(id.value()));
    return failed;
  }

  /** A task that was lost with two workers of one cut was declared the cause. */
  @Example
  void jobIsNotFailedForTwoWorkersBehindOneCut() {
    DispatchFleet fleet = Fleets.dispatching(3);
    offer(fleet, 0, 4, fleet.time().now() + 12 * SECOND);
    for (int i = 0; i < 2; i++) {
      fleet.runFor(SECOND);
      cutDomainOff(fleet, i, 4 * SECOND);
      fleet.runFor(5 * SECOND);
    }
    fleet.runFor(SETTLE);
    assertThat(failedJobs(fleet)).isEmpty();
    assertThat(fleet.breaches()).isEmpty();
  }

  /** The entry of a worker that refused connections lapsed, which was taken for its end. */
  @Example
  void durableJobIsNotFailedForWorkersWhoseEntriesLapseInCut() {
    DispatchFleet fleet = Fleets.dispatching(3);
    SplittableRandom random = new SplittableRandom(4);
    offer(fleet, 1, 4, fleet.time().now() + 12 * SECOND);
    for (int i = 0; i < 16; i++) {
      fleet.runFor(SECOND);
      cutSomeOff(fleet, 5, 5 * SECOND, random);
    }
    fleet.runFor(SETTLE);
    assertThat(failedJobs(fleet)).isEmpty();
    assertThat(fleet.callers().unfinished()).isEmpty();
    assertThat(fleet.breaches()).isEmpty();
  }

  /** Workers that end and start again for causes of their own, whatever runs there. */
  @Property(tries = 12, shrinking = ShrinkingMode.OFF, seed = "20261205")
  void jobIsNotFailedForWorkersThatEndAgainAndAgainByThemselves(@ForAll long seed) {
    DispatchFleet fleet = Fleets.dispatching(seed);
    long end = fleet.time().now() + 20 * SECOND;
    offer(fleet, 0.5, seed, end);
    flapUntil(end, fleet);
    fleet.runFor(20 * SECOND + SETTLE);
    assertWithMessage("seed %s", seed).that(failedJobs(fleet)).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.callers().unfinished()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
  }

  @Property(tries = 30, shrinking = ShrinkingMode.OFF, seed = "20261205")
  void noJobIsFailedForCutsThatRefuse(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    DispatchFleet fleet = Fleets.dispatching(seed);
    long end = fleet.time().now() + 10 * SECOND;
    offer(fleet, 0.5, seed, end);
    while (fleet.time().now() < end) {
      fleet.runFor(random.nextLong(SECOND));
      long micros = random.nextLong(200_000, 6 * SECOND);
      switch (random.nextInt(6)) {
        case 0 -> cutDomainOff(fleet, random.nextInt(2), micros);
        case 1 -> fleet.elect();
        case 2 -> {
          fleet.setStoreDown(true);
          fleet.time().after(random.nextLong(3 * SECOND), () -> fleet.setStoreDown(false));
        }
        default -> cutSomeOff(fleet, random.nextInt(1, 6), micros, random);
      }
    }
    fleet.setStoreDown(false);
    fleet.runFor(SETTLE);
    assertWithMessage("seed %s", seed).that(failedJobs(fleet)).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.callers().unfinished()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.openJobs()).isEmpty();
  }
}
