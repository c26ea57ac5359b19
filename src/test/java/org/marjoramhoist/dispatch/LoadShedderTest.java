package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.RunRef;

/** Tests which jobs are displaced or refused if not all can meet their objectives. */
class LoadShedderTest extends DispatcherFixture {

  private static final long TIMEOUT_MICROS = 5_000 * MICROS_PER_MILLI;
  private static final int LOW = 1;
  private static final int HIGH = 0;

  private int lastJobNumber;

  @BeforeEach
  void beginTermWithShedding() {
    policy = POLICY.withScheduling(scheduling(Map.of(HIGH, 10.0, LOW, 1.0)));
    beginTerm(now);
    listWorkers(worker("w", 4_000, false));
    report("w", List.of());
  }

  private static SchedulingPolicy scheduling(Map<Integer, Double> values) {
    return new SchedulingPolicy(
        SchedulingPolicy.Placement.FASTEST,
        SchedulingPolicy.Overload.SHED,
        false,
        values,
        SchedulingPolicy.DEFAULT_LATE_VALUE);
  }

  private static RequestClass requestClass(int priority) {
    return new RequestClass("p" + priority, "h", "/p/", "reviews", priority, 3, 1.6, 60, false);
  }

  private DispatchEvent.JobSubmitted job(int priority, int generation) {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++lastJobNumber));
    JobDescription job = new JobDescription(id, "p", List.of(tasks(1, List.of())), Set.of());
    return new DispatchEvent.JobSubmitted(
        job, requestClass(priority), "entry", now, now + TIMEOUT_MICROS, generation);
  }

  /** Submits jobs in one step and returns the jobs refused in that step. */
  private List<JobId> submit(int priority, int count) {
    List<DispatchEvent> events = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      events.add(job(priority, 0));
    }
    actions.addAll(dispatcher.step(now, events));
    return refused();
  }

  private List<JobId> refused() {
    return takeActions(DispatchAction.Finish.class).stream()
        .filter(end -> end.outcome() == JobOutcome.REFUSED)
        .map(DispatchAction.Finish::job)
        .toList();
  }

  /** A forecast must not cause the refusal of jobs that fit in the free capacity. */
  @Test
  void nothingIsRefusedWhileCapacityIsFree() {
    assertThat(submit(LOW, 4)).isEmpty();
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(4);
  }

  /** Without shedding, such jobs are refused only after three times their objective. */
  @Test
  void excessJobsAreRefusedInTheStepOfTheirSubmission() {
    assertThat(submit(LOW, 100)).isNotEmpty();
  }

  /** Without shedding, capacity goes to the job that arrived first. */
  @Test
  void lowestValueDensityIsDisplaced() {
    submit(LOW, 12);
    List<DispatchAction.Start> running = takeActions(DispatchAction.Start.class);
    running.forEach(start -> confirmStart("w", start.run()));
    now += 10 * MICROS_PER_MILLI;
    submit(HIGH, 1);
    JobId valuable = new JobId(String.format(Locale.ROOT, "%016x", lastJobNumber));
    RunRef first = running.get(0).run();
    report("w", List.of(), new WorkerReport.Completion(1, first, WorkerReport.RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Start.class).get(0).run().task().job())
        .isEqualTo(valuable);
  }

  /** If a started job were refused, its caller would retry and its tasks would run twice. */
  @Test
  void startedJobsAreNotRefused() {
    List<DispatchEvent> resubmitted = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      resubmitted.add(job(LOW, 1));
    }
    actions.addAll(dispatcher.step(now, resubmitted));
    submit(HIGH, 50);
    assertThat(refused()).isEmpty();
    step(20, new DispatchEvent.Tick());
    refused().forEach(id -> assertThat(Long.parseLong(id.toString(), 16)).isGreaterThan(50));
  }

  /** A durable job must run eventually, whatever its cost to other jobs. */
  @Test
  void durableJobsAreNotRefused() {
    DispatchEvent.JobSubmitted event = job(LOW, 0);
    Job durable = Job.durable(new StoredJob(event.job(), event.requestClass(), 0), now, 1);
    Job ephemeral = newJob(HIGH);
    FairShareWeights weights = new FairShareWeights(false, now);
    QueueOrder order = new QueueOrder(new DurationModel(), weights, policy.scheduling());
    JobValues values = new JobValues(policy.scheduling(), order::totalWork);
    CapacityForecast noCapacity =
        CapacityForecast.forUpstream("reviews", List.of(), new ServiceRate(), now);
    LoadShedder.Plan plan =
        new LoadShedder(order, values, weights)
            .plan(List.of(durable, ephemeral), noCapacity, 1, 0, now);
    assertThat(plan.queue()).hasSize(1);
    assertThat(plan.queue().get(0).job()).isEqualTo(durable);
    assertThat(plan.refused()).hasSize(1);
    assertThat(plan.refused().get(0).job()).isEqualTo(ephemeral);
  }

  /** Displaced jobs must not stay queued once there is capacity for all. */
  @Test
  void displacedJobsRunOnceCapacityIsAdded() {
    submit(LOW, 12);
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(4);
    assertThat(dispatcher.snapshot(now).displacedJobs()).isGreaterThan(0);
    listWorkers(worker("w", 4_000, false), worker("x", 64_000, false));
    report("x", List.of());
    step(20, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(8);
  }

  /** Without usable workers, the capacity is unknown. */
  @Test
  void nothingIsShedWithoutUsableWorkers() {
    beginTerm(now);
    listWorkers(worker("w", 4_000, false));
    assertThat(submit(LOW, 100)).isEmpty();
  }

  /** Without configured values, the higher priority must have the higher value. */
  @Test
  void higherPriorityHasHigherDefaultValue() {
    Job first = newJob(0);
    Job second = newJob(1);
    JobValues values = new JobValues(SchedulingPolicy.DEFAULT, job -> 1);
    values.learn(first);
    values.learn(second);
    assertThat(values.value(first)).isGreaterThan(values.value(second));
    JobValues set = new JobValues(scheduling(Map.of(0, 2.0, 1, 3.0)), job -> 1);
    assertThat(set.value(first)).isWithin(1e-9).of(2);
    assertThat(set.value(second)).isWithin(1e-9).of(3);
  }

  /** A single huge job must not outweigh all others. */
  @Test
  void valueIsLimitedToFourTimesTheClassValue() {
    double[] work = {1};
    JobValues values = new JobValues(scheduling(Map.of(0, 2.0)), job -> work[0]);
    values.learn(newJob(0));
    work[0] = 1_000;
    assertThat(values.value(newJob(0))).isWithin(1e-9).of(8);
    work[0] = 0;
    assertThat(values.value(newJob(0))).isWithin(1e-9).of(0.6);
  }

  private Job newJob(int priority) {
    DispatchEvent.JobSubmitted event = job(priority, 0);
    return new Job(event.job(), event.requestClass(), now, event.deadline(), 0);
  }
}
