package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.StepSpec;

/** The bound on the tasks that a leader holds. */
class OpenTasksTest extends DispatcherFixture {

  private static final int LARGEST_JOB = 10_000;
  private static final int MAX_TASKS = SchedulingPolicy.DEFAULT_MAX_OPEN_TASKS;
  private static final long DEADLINE_MICROS = 3_600_000_000L;

  private int jobs;

  @BeforeEach
  void startLeader() {
    step(0, new DispatchEvent.DomainsDrained(Set.of()));
    step(0, new DispatchEvent.RosterLoaded(List.of()));
    listWorkers(worker("w", 1_000, false));
    report("w", List.of());
  }

  private JobId submit(int taskCount) {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++jobs));
    List<StepSpec> steps = List.of(tasks(taskCount, List.of()));
    JobDescription job = new JobDescription(id, "p", steps, Set.<JobFeature>of());
    step(0, new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "e", now, now + DEADLINE_MICROS, 0));
    return id;
  }

  private List<JobId> refused() {
    return takeActions(DispatchAction.Finish.class).stream()
        .filter(end -> end.outcome() == JobOutcome.REFUSED)
        .map(DispatchAction.Finish::job)
        .toList();
  }

  @Test
  void crowdOfLargestJobsIsRefusedUnstartedAndLeavesRoomForSmallOnes() {
    List<JobId> submitted = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      submitted.add(submit(LARGEST_JOB));
    }
    int accepted = submitted.size() - refused().size();
    assertThat(accepted).isAtLeast(1);
    assertThat(accepted * LARGEST_JOB).isAtMost(MAX_TASKS);
    submit(20);
    assertThat(refused()).isEmpty();
  }

  @Test
  void tasksOfEndedJobsDoNotCount() {
    for (int i = 0; i < 100; i++) {
      JobId id = submit(LARGEST_JOB);
      assertThat(refused()).isEmpty();
      step(0, new DispatchEvent.JobWithdrawn(id, "e", false));
    }
  }
}
