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
import org.marjoramhoist.job.JobFootprint;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;

/** The bound on the memory that the jobs of a leader take. */
class OpenBytesTest extends DispatcherFixture {

  private static final long MAX_BYTES = 8L << 20;
  private static final int CROWD = 4_000;
  private static final long DEADLINE_MICROS = 3_600_000_000L;
  private static final StepSpec SMALL_TASK =
      new StepSpec(1, new Resources(1, 0, 0), 50, List.of(), "", "", 0);

  private int jobs;

  @BeforeEach
  void startLeader() {
    policy = POLICY.withScheduling(SchedulingPolicy.DEFAULT.withMaxOpenBytes(MAX_BYTES));
    beginTerm(now);
    listWorkers(worker("w", 16_000, false));
    report("w", List.of());
    step(0, new DispatchEvent.JobsLoaded(1, List.of(), List.of()));
    actions.clear();
  }

  private JobDescription job(String payload, Set<JobFeature> features) {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++jobs));
    return new JobDescription(id, payload, List.of(SMALL_TASK), features);
  }

  private void submitDurable(JobDescription job) {
    StoredJob record = new StoredJob(job, REQUEST_CLASS, 10_000);
    step(
        0, new DispatchEvent.JobCallReceived(JobCallKind.SUBMIT, job.id(), record, "e", jobs, now));
    storeBatches();
  }

  private void storeBatches() {
    step(10, new DispatchEvent.Tick());
    for (DispatchAction.Store store : takeActions(DispatchAction.Store.class)) {
      step(0, new DispatchEvent.BatchStored(store.batch().number()));
    }
  }

  private List<DispatchAction.Reply> refusals() {
    return takeActions(DispatchAction.Reply.class).stream()
        .filter(reply -> reply.result() == JobCallResult.REFUSED)
        .toList();
  }

  /** Callers handed in more than one leader after the other could hold. */
  @Test
  void crowdOfLargeDurableJobsIsRefusedAndLeavesRoomForSmallOnes() {
    final String payload = "x".repeat(4_000);
    List<JobDescription> submitted = new ArrayList<>();
    for (int i = 0; i < CROWD; i++) {
      submitted.add(job(payload, Set.of(JobFeature.DURABLE)));
      submitDurable(submitted.get(i));
    }
    List<DispatchAction.Reply> refused = refusals();
    int accepted = CROWD - refused.size();
    assertThat(accepted * JobFootprint.bytesOf(submitted.get(0))).isAtMost(MAX_BYTES);
    assertThat(accepted * JobFootprint.bytesOf(submitted.get(0))).isAtLeast(MAX_BYTES / 2);
    refused.forEach(reply -> assertThat(reply.retryAfterMillis()).isAtLeast(1));
    submitDurable(job("p", Set.of(JobFeature.DURABLE)));
    assertThat(refusals()).isEmpty();
  }

  @Test
  void bestEffortJobsCountAsWell() {
    String payload = "x".repeat(4_000);
    for (int i = 0; i < CROWD; i++) {
      JobDescription job = job(payload, Set.of());
      step(
          0,
          new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "e", now, now + DEADLINE_MICROS, 0));
    }
    List<DispatchAction.Finish> refused =
        takeActions(DispatchAction.Finish.class).stream()
            .filter(end -> end.outcome() == JobOutcome.REFUSED)
            .toList();
    assertThat(refused).isNotEmpty();
    assertThat(refused.get(0).reason()).isEqualTo(JobRegistry.TOO_MANY_BYTES);
  }

  @Test
  void jobsThatHaveEndedMakeRoomAndCountUntilTheyAreForgotten() {
    String payload = "x".repeat(4_000);
    for (int i = 0; i < CROWD; i++) {
      JobDescription job = job(payload, Set.of(JobFeature.DURABLE));
      submitDurable(job);
      step(
          0, new DispatchEvent.JobCallReceived(JobCallKind.CANCEL, job.id(), null, "e", jobs, now));
      storeBatches();
    }
    assertThat(refusals()).isEmpty();
    // They take an estimated 1 MB now, of which a job may have all but a half of the bound.
    List<DispatchEvent.EndedJob> ended = new ArrayList<>();
    for (int i = 0; i < MAX_BYTES / JobFootprint.ENDED_JOB_BYTES; i++) {
      JobId id = new JobId(String.format(Locale.ROOT, "%016x", 1_000_000 + i));
      ended.add(new DispatchEvent.EndedJob(id, JobStatus.SUCCEEDED, now / MICROS_PER_MILLI));
    }
    beginTerm(now);
    listWorkers(worker("w", 16_000, false));
    report("w", List.of());
    step(0, new DispatchEvent.JobsLoaded(1, List.of(), ended));
    actions.clear();
    submitDurable(job("p", Set.of(JobFeature.DURABLE)));
    assertThat(refusals()).hasSize(1);
  }
}
