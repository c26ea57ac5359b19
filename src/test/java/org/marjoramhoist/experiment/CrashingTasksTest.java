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
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;

/** Tasks that end the process of each worker that starts them. */
class CrashingTasksTest {

  private static final long SETTLE = 30 * SECOND;

  private final DispatchFleet fleet = Fleets.dispatching(5);

  private void offerDurable(long seconds) {
    offer(fleet, 0.1, 6, fleet.time().now() + seconds * SECOND);
  }

  private static void offer(DispatchFleet fleet, double crashingShare, long seed, long end) {
    new DispatchLoad(fleet, DispatchLoad.reviews(0.6), List.of(), seed)
        .withDurableShare(1)
        .withCrashingShare(crashingShare)
        .offerUntil(end);
  }

  private Set<JobId> acceptedWith(JobStatus status) {
    return fleet.callers().accepted().stream()
        .filter(id -> fleet.callers().status(id) == status)
        .collect(Collectors.toSet());
  }

  /** A lost run counted for nothing, so such a task ended one worker after the other. */
  @Example
  void crashingTaskIsNotStartedAgainAndAgain() {
    offerDurable(6);
    fleet.runFor(6 * SECOND + SETTLE);
    assertThat(fleet.crashingTasks().jobs()).isNotEmpty();
    assertThat(fleet.breaches()).isEmpty();
  }

  /** As leaders change and workers and messages fail. */
  @Property(tries = 30, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void crashingTaskIsNotStartedAgainAndAgainWhoeverLeads(@ForAll long seed) {
    DispatchFleet disturbed = Fleets.dispatching(seed);
    long end = disturbed.time().now() + 8 * SECOND;
    offer(disturbed, 0.05, seed, end);
    Disturbances.disturbUntil(end, disturbed, new SplittableRandom(seed));
    disturbed.runFor(2 * SETTLE);
    assertWithMessage("seed %s", seed).that(disturbed.breaches()).isEmpty();
    assertWithMessage("seed %s", seed).that(disturbed.callers().unfinished()).isEmpty();
  }

  /** Workers that end for causes of their own, whatever ran there. */
  @Property(tries = 20, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void noJobFailsUnlessTwoWorkersEndedUnderOneOfItsTasks(@ForAll long seed) {
    DispatchFleet ending = Fleets.dispatching(seed);
    SplittableRandom random = new SplittableRandom(seed);
    long end = ending.time().now() + 8 * SECOND;
    offer(ending, 0, seed, end);
    while (ending.time().now() < end) {
      ending.runFor(random.nextLong(SECOND));
      endSome(ending, random.nextInt(5), random);
    }
    ending.runFor(2 * SETTLE);
    assertWithMessage("seed %s", seed).that(ending.callers().unfinished()).isEmpty();
    for (JobId id : ending.callers().accepted()) {
      if (ending.callers().status(id) == JobStatus.FAILED) {
        assertWithMessage("seed %s job %s", seed, id)
            .that(ending.crashingTasks().endedWorkers(id))
            .isAtLeast(2);
      }
    }
  }

  @Example
  void noJobFailsAsWorkersEndInWaves() {
    SplittableRandom random = new SplittableRandom(7);
    long end = fleet.time().now() + 16 * SECOND;
    offer(fleet, 0, 8, end);
    while (fleet.time().now() < end) {
      fleet.runFor(4 * SECOND);
      endSome(fleet, 5, random);
    }
    fleet.runFor(SETTLE);
    assertThat(fleet.callers().unfinished()).isEmpty();
    assertThat(fleet.callers().count(JobStatus.FAILED)).isEqualTo(0);
  }

  private static void endSome(DispatchFleet fleet, int count, SplittableRandom random) {
    for (int i = 0; i < count; i++) {
      fleet.endProcess(fleet.workers().get(random.nextInt(fleet.workers().size())));
    }
  }

  /** All accepted jobs end: those with such a task as failed, and no others. */
  @Example
  void onlyJobsWithCrashingTaskFail() {
    offerDurable(6);
    fleet.runFor(6 * SECOND + SETTLE);
    assertThat(fleet.callers().unfinished()).isEmpty();
    Set<JobId> crashing = fleet.crashingTasks().jobs();
    Set<JobId> accepted = fleet.callers().accepted();
    assertThat(acceptedWith(JobStatus.FAILED))
        .containsExactlyElementsIn(
            accepted.stream().filter(crashing::contains).collect(Collectors.toSet()));
  }
}
