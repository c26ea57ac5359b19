package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;

/** The weights of groups of callers, and their use among jobs that are late. */
class FairShareWeightsTest extends DispatcherFixture {

  private static final SchedulingPolicy FAIR =
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

  private List<Job> arrive(String origin, int count) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      jobs.add(job(origin, 0));
      weights.jobArrived(jobs.get(i), 0);
    }
    return jobs;
  }

  /** With equal weights a group that goes short would stay short. */
  @Test
  void groupThatGotLessHasTheGreaterWeight() {
    arrive("a", 40).forEach(each -> weights.jobStarted(each, 0));
    arrive("b", 40);
    assertThat(weights.weight(job("a", 0), 0)).isWithin(1e-3).of(1);
    assertThat(weights.weight(job("b", 0), 0)).isEqualTo(4);
    assertThat(weights.weight(job("unknown", 0), 0)).isEqualTo(1);
  }

  /** A job whose tasks start one after the other must not count several times. */
  @Test
  void jobCountsAsServedOnce() {
    List<Job> jobs = arrive("a", 40);
    for (int i = 0; i < 20; i++) {
      weights.jobStarted(jobs.get(i), 0);
      weights.jobStarted(jobs.get(i), 0);
    }
    assertThat(weights.weight(job("a", 0), 0)).isGreaterThan(2.0);
  }

  /** A group whose jobs are all started too late would be taken for served. */
  @Test
  void startedJobsThatEndLateWereNotServed() {
    List<Job> jobs = arrive("a", 40);
    jobs.forEach(each -> weights.jobStarted(each, 0));
    jobs.forEach(each -> weights.jobEnded(each, false, 0));
    assertThat(weights.weight(job("a", 0), 0)).isEqualTo(4);
  }

  /** Groups must make no difference with the default settings. */
  @Test
  void allWeightsAreOneWithoutFairShares() {
    FairShareWeights none = new FairShareWeights(false, 0);
    Job job = job("a", 0);
    none.jobArrived(job, 0);
    assertThat(none.weight(job, 0)).isEqualTo(1);
    assertThat(none.servedShares(0)).isEmpty();
  }

  private List<JobId> startedOfLateJobs(SchedulingPolicy scheduling) {
    dispatcher = new Dispatcher(POLICY.withScheduling(scheduling), now, now, 0);
    step(0, new DispatchEvent.DomainsDrained(Set.of()));
    step(0, new DispatchEvent.RosterLoaded(List.of()));
    listWorkers(worker("w", 1_000, false));
    // Both groups ask for the same; the one job of "a" that is started first is all that is served.
    for (int i = 0; i < 12; i++) {
      submit(i, i < 6 ? "a" : "b");
    }
    report("w", List.of());
    List<DispatchAction.Start> first = takeActions(DispatchAction.Start.class);
    step(90, new DispatchEvent.Tick());
    confirmStart("w", first.get(0).run());
    report("w", List.of(), end(first.get(0)));
    List<JobId> jobs = new ArrayList<>();
    jobs.add(first.get(0).run().task().job());
    takeActions(DispatchAction.Start.class).forEach(start -> jobs.add(start.run().task().job()));
    return jobs;
  }

  private static WorkerReport.Completion end(DispatchAction.Start start) {
    return new WorkerReport.Completion(1, start.run(), WorkerReport.RunOutcome.DONE);
  }

  private static JobId id(int number) {
    return new JobId(String.format("%016x", number));
  }

  private void submit(int number, String origin) {
    JobDescription job =
        new JobDescription(id(number), "p", List.of(tasks(1, List.of())), Set.<JobFeature>of());
    step(
        0,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, "e", now + number, now + 10_000 * MICROS_PER_MILLI, 0, origin));
  }

  /** Weights that the order ignores would be without effect among late jobs. */
  @Test
  void lateJobsOfTheGroupThatGotLessComeFirst() {
    assertThat(startedOfLateJobs(SchedulingPolicy.DEFAULT)).containsExactly(id(0), id(1));
    assertThat(startedOfLateJobs(FAIR)).containsExactly(id(0), id(6));
  }
}
