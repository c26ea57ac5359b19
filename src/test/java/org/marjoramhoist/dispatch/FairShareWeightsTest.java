package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;

/** Tests the weights of caller groups and their effect on the order of late jobs. */
class FairShareWeightsTest extends DispatcherFixture {

  private static final SchedulingPolicy FAIR_SHARES =
      new SchedulingPolicy(
          SchedulingPolicy.Placement.FASTEST,
          SchedulingPolicy.Overload.QUEUE,
          true,
          Map.of(),
          SchedulingPolicy.DEFAULT_LATE_VALUE);
  private static final JobDescription DESCRIPTION =
      new JobDescription(
          new JobId("00000000000000a1"), "p", List.of(tasks(4, List.of())), Set.<JobFeature>of());

  private final FairShareWeights weights = new FairShareWeights(true, 0);

  private static Job job(String origin, long arrivedAt) {
    Job job =
        new Job(DESCRIPTION, REQUEST_CLASS, arrivedAt, arrivedAt + 1_000 * MICROS_PER_MILLI, 0);
    job.origin = origin;
    return job;
  }

  private List<Job> recordArrivals(String origin, int count) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      jobs.add(job(origin, 0));
      weights.jobArrived(jobs.get(i), 0);
    }
    return jobs;
  }

  /** With equal weights, a group that received less than its share would not catch up. */
  @Test
  void underservedGroupHasHigherWeight() {
    recordArrivals("a", 40).forEach(each -> weights.jobStarted(each, 0));
    recordArrivals("b", 40);
    assertThat(weights.weight(job("a", 0), 0)).isWithin(1e-3).of(1);
    assertThat(weights.weight(job("b", 0), 0)).isEqualTo(4);
    assertThat(weights.weight(job("unknown", 0), 0)).isEqualTo(1);
  }

  /** A job with several tasks must not be counted as served once per task. */
  @Test
  void jobIsCountedAsServedOnce() {
    List<Job> jobs = recordArrivals("a", 40);
    for (int i = 0; i < 20; i++) {
      weights.jobStarted(jobs.get(i), 0);
      weights.jobStarted(jobs.get(i), 0);
    }
    assertThat(weights.weight(job("a", 0), 0)).isGreaterThan(2.0);
  }

  /** A group whose jobs all end late must not be counted as served. */
  @Test
  void startedJobsThatEndLateDoNotCountAsServed() {
    List<Job> jobs = recordArrivals("a", 40);
    jobs.forEach(each -> weights.jobStarted(each, 0));
    jobs.forEach(each -> weights.jobEnded(each, false, 0));
    assertThat(weights.weight(job("a", 0), 0)).isEqualTo(4);
  }

  /** Fair shares must have no effect with the default settings. */
  @Test
  void allWeightsAreOneWithoutFairShares() {
    FairShareWeights none = new FairShareWeights(false, 0);
    Job job = job("a", 0);
    none.jobArrived(job, 0);
    assertThat(none.weight(job, 0)).isEqualTo(1);
    assertThat(none.servedShares(0)).isEmpty();
  }

  private List<JobId> startLateJobs(SchedulingPolicy scheduling) {
    dispatcher = new Dispatcher(POLICY.withScheduling(scheduling), now, now, 0);
    step(0, new DispatchEvent.DomainsDrained(Set.of()));
    step(0, new DispatchEvent.RosterLoaded(List.of()));
    listWorkers(worker("w", 1_000, false));
    // Both groups have the same demand. Only one job of "a" has been served, the one started
    // first.
    for (int i = 0; i < 12; i++) {
      submit(i, i < 6 ? "a" : "b");
    }
    report("w", List.of());
    List<DispatchAction.Start> first = takeActions(DispatchAction.Start.class);
    step(90, new DispatchEvent.Tick());
    confirmStart("w", first.get(0).run());
    report("w", List.of(), completion(first.get(0)));
    List<JobId> jobs = new ArrayList<>();
    jobs.add(first.get(0).run().task().job());
    takeActions(DispatchAction.Start.class).forEach(start -> jobs.add(start.run().task().job()));
    return jobs;
  }

  private static WorkerReport.Completion completion(DispatchAction.Start start) {
    return new WorkerReport.Completion(1, start.run(), WorkerReport.RunOutcome.DONE);
  }

  private static JobId id(int number) {
    return new JobId(String.format(Locale.ROOT, "%016x", number));
  }

  private void submit(int number, String origin) {
    JobDescription job =
        new JobDescription(id(number), "p", List.of(tasks(1, List.of())), Set.<JobFeature>of());
    step(
        0,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, "e", now + number, now + 10_000 * MICROS_PER_MILLI, 0, origin));
  }

  /** Guards against a queue order that ignores the weights for late jobs. */
  @Test
  void lateJobsOfUnderservedGroupComeFirst() {
    assertThat(startLateJobs(SchedulingPolicy.DEFAULT)).containsExactly(id(0), id(1));
    assertThat(startLateJobs(FAIR_SHARES)).containsExactly(id(0), id(6));
  }
}
