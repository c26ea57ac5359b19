package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.RunRef;

/** Which jobs make way when not all can be in time. */
class LoadShedderTest extends DispatcherFixture {

  private static final long PATIENCE = 5_000 * MICROS_PER_MILLI;
  private static final int LOW = 1;
  private static final int HIGH = 0;

  private int made;

  @BeforeEach
  void shed() {
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
    JobId id = new JobId(String.format("%016x", ++made));
    JobDescription job = new JobDescription(id, "p", List.of(tasks(1, List.of())), Set.of());
    return new DispatchEvent.JobSubmitted(
        job, requestClass(priority), "entry", now, now + PATIENCE, generation);
  }

  /** Hands jobs in, all in one step, and returns those that were refused in that step. */
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

  /** Jobs that find room at once must not be refused by a forecast. */
  @Test
  void nothingIsRefusedWhileThereIsRoom() {
    assertThat(submit(LOW, 4)).isEmpty();
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(4);
  }

  /** Without shedding such jobs were told only after three times their objective. */
  @Test
  void whatCanNotBeServedIsRefusedInTheStepInWhichItComes() {
    assertThat(submit(LOW, 100)).isNotEmpty();
  }

  /** Without shedding the room went to the job that came first. */
  @Test
  void leastValuablePerWorkMakesWay() {
    submit(LOW, 12);
    List<DispatchAction.Start> running = takeActions(DispatchAction.Start.class);
    running.forEach(start -> confirmStart("w", start.run()));
    now += 10 * MICROS_PER_MILLI;
    submit(HIGH, 1);
    JobId valuable = new JobId(String.format("%016x", made));
    RunRef first = running.get(0).run();
    report("w", List.of(), new WorkerReport.Completion(1, first, WorkerReport.RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Start.class).get(0).run().task().job())
        .isEqualTo(valuable);
  }

  /** A started job that is told to come back would run its tasks twice. */
  @Test
  void startedJobsAreNotRefused() {
    List<DispatchEvent> handedOn = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      handedOn.add(job(LOW, 1));
    }
    actions.addAll(dispatcher.step(now, handedOn));
    submit(HIGH, 50);
    assertThat(refused()).isEmpty();
    step(20, new DispatchEvent.Tick());
    refused().forEach(id -> assertThat(Long.parseLong(id.toString(), 16)).isGreaterThan(50));
  }

  /** A durable job is run in the end, whatever it costs others. */
  @Test
  void durableJobsAreNotRefused() {
    DispatchEvent.JobSubmitted event = job(LOW, 0);
    Job durable = Job.durable(new StoredJob(event.job(), event.requestClass(), 0), now, 1);
    Job ephemeral = newJob(HIGH);
    FairShareWeights weights = new FairShareWeights(false, now);
    QueueOrder order = new QueueOrder(new DurationModel(), weights, policy.scheduling());
    JobValues values = new JobValues(policy.scheduling(), order::totalWork);
    CapacityForecast none =
        CapacityForecast.forUpstream("reviews", List.of(), new ServiceRate(), now);
    LoadShedder.Plan plan =
        new LoadShedder(order, values, weights).plan(List.of(durable, ephemeral), none, 1, 0, now);
    assertThat(plan.queue()).hasSize(1);
    assertThat(plan.queue().get(0).job()).isEqualTo(durable);
    assertThat(plan.refused()).hasSize(1);
    assertThat(plan.refused().get(0).job()).isEqualTo(ephemeral);
  }

  /** A displaced job that waits must not stay behind once there is room for all. */
  @Test
  void displacedJobsRunOnceCapacityComesBack() {
    submit(LOW, 12);
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(4);
    assertThat(dispatcher.snapshot(now).displacedJobs()).isGreaterThan(0);
    listWorkers(worker("w", 4_000, false), worker("x", 64_000, false));
    report("x", List.of());
    step(20, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(8);
  }

  /** Without usable workers all figures about capacity are unknown. */
  @Test
  void nothingIsShedWithoutUsableWorkers() {
    beginTerm(now);
    listWorkers(worker("w", 4_000, false));
    assertThat(submit(LOW, 100)).isEmpty();
  }

  /** A priority that comes first must win where the settings say nothing of values. */
  @Test
  void earlierPriorityIsWorthMoreWhereNoValuesAreSet() {
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
  void valueIsBoundedAtFourTimesThatOfItsClass() {
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
