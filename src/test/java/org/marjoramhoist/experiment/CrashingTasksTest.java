package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;

/** Tasks that end the process of each worker that starts them. */
class CrashingTasksTest {

  private static final long SETTLE = 30 * SECOND;

  private final DispatchFleet fleet = Fleets.dispatching(5);

  private void offerDurable(long seconds) {
    new DispatchLoad(fleet, DispatchLoad.reviews(0.6), List.of(), 6)
        .withDurableShare(1)
        .withCrashingShare(0.1)
        .offerUntil(fleet.time().now() + seconds * SECOND);
  }

  private Set<JobId> acceptedWith(JobStatus status) {
    return fleet.callers().accepted().stream()
        .filter(id -> fleet.callers().status(id) == status)
        .collect(Collectors.toSet());
  }

  /** A lost run counted for nothing, so such a task ended one worker after the other. */
  @Test
  void crashingTaskIsNotStartedAgainAndAgain() {
    offerDurable(6);
    fleet.runFor(6 * SECOND + SETTLE);
    assertThat(fleet.crashingTasks().jobs()).isNotEmpty();
    assertThat(fleet.breaches()).isEmpty();
  }

  /** All accepted jobs end: those with such a task as failed, and no others. */
  @Test
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
