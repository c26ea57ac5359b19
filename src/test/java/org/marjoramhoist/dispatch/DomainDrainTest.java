package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerReport.ActiveRun;
import org.marjoramhoist.dispatch.WorkerReport.Completion;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.log.LogEvent;

/**
 * Failure domains that the operator drains: nothing is started there, everything else continues.
 */
class DomainDrainTest extends DispatcherFixture {

  private static final WorkerInfo NORTH = worker("n", "north", 1_000, 0);
  private static final WorkerInfo SOUTH = worker("s", "south", 64_000, 0);

  private int jobCount;

  @BeforeEach
  void startTermWithBothWorkers() {
    startTerm(POLICY, NORTH, SOUTH);
  }

  private void startTerm(DispatchPolicy policy, WorkerInfo... workers) {
    dispatcher = new Dispatcher(policy, now, now, 0);
    step(0, new DispatchEvent.RosterLoaded(List.of(workers)));
    step(0, new DispatchEvent.JobsLoaded(1, List.of(), List.of()));
    listWorkers(workers);
    for (WorkerInfo worker : workers) {
      report(worker.id(), List.of());
    }
    actions.clear();
  }

  private static WorkerInfo worker(String id, String domain, long cpuMillis, long warmUpMillis) {
    Resources capacity = new Resources(cpuMillis, 1_000, 0);
    return new WorkerInfo(
        id,
        "reviews",
        "10.0.0.1:1",
        domain,
        capacity,
        capacity,
        "a",
        "r-1",
        Set.of("a", "r-1", id),
        false,
        1,
        warmUpMillis,
        0);
  }

  private void drain(String... domains) {
    step(1, new DispatchEvent.DomainsDrained(Set.of(domains)));
  }

  private void submit(int tasks) {
    submit(tasks(tasks, List.of()));
  }

  private void submit(StepSpec step) {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++jobCount));
    JobDescription job = new JobDescription(id, "p", List.of(step), Set.of());
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, "e", now, now + 5_000 * MICROS_PER_MILLI, 0));
  }

  private static StepSpec taskOn(String label) {
    return new StepSpec(1, new Resources(1_000, 1, 0), 50, List.of(), label, "", 0);
  }

  private void tick(long millis) {
    step(millis, new DispatchEvent.Tick());
  }

  private List<String> takeStartedOn() {
    return takeActions(DispatchAction.Start.class).stream()
        .map(start -> start.worker().id())
        .toList();
  }

  private List<LogEvent> takeLoggedEvents() {
    return takeActions(DispatchAction.Log.class).stream().map(DispatchAction.Log::event).toList();
  }

  /** A new leader that does not know the drained domains yet would start tasks in one of them. */
  @Test
  void startsNothingBeforeTheDrainedDomainsAreKnown() {
    submit(4);
    tick(50);
    assertThat(takeStartedOn()).isEmpty();
    drain("north");
    assertThat(takeStartedOn()).containsExactly("s", "s", "s", "s");
  }

  /** All events of one step are handled before tasks are started, in any order. */
  @Test
  void drainReceivedInTheSameStepAsJobAppliesToIt() {
    drain();
    JobDescription job =
        new JobDescription(
            new JobId("00000000000000aa"), "p", List.of(tasks(2, List.of())), Set.of());
    now += MICROS_PER_MILLI;
    actions.addAll(
        dispatcher.step(
            now,
            List.of(
                new DispatchEvent.JobSubmitted(
                    job, REQUEST_CLASS, "e", now, now + 5_000 * MICROS_PER_MILLI, 0),
                new DispatchEvent.DomainsDrained(Set.of("north")))));
    assertThat(takeStartedOn()).containsExactly("s", "s");
  }

  /** A drain must not abort tasks, and the capacity that they release must stay unused. */
  @Test
  void runningTaskCompletesAndNothingIsStartedAfterIt() {
    drain("south");
    submit(1);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("n", run);
    drain("north");
    submit(2);
    report("n", List.of(new ActiveRun(run, 10)));
    assertThat(takeActions(DispatchAction.Stop.class)).isEmpty();
    assertThat(takeStartedOn()).containsExactly("s", "s");
    takeActions(DispatchAction.Finish.class);
    report("n", List.of(), new Completion(1, run, RunOutcome.DONE));
    tick(20);
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
    assertThat(takeStartedOn()).isEmpty();
  }

  /** A second drain of a domain must not be ignored as a repetition of the first. */
  @Test
  void repeatedDrainAppliesEachTime() {
    for (int round = 0; round < 2; round++) {
      drain("north");
      submit(1);
      assertThat(takeStartedOn()).containsExactly("s");
      drain("south");
      submit(1);
      DispatchAction.Start start = takeActions(DispatchAction.Start.class).get(0);
      assertThat(start.worker().id()).isEqualTo("n");
      report("n", List.of(), new Completion(round + 1, start.run(), RunOutcome.DONE));
    }
  }

  /** Fails if only the workers known at the time of the drain are marked. */
  @Test
  void workerThatJoinsDrainedDomainGetsNoWork() {
    drain("north");
    listWorkers(worker("s", "north", 64_000, 0), worker("new", "north", 64_000, 0), NORTH);
    report("new", List.of());
    submit(1);
    assertThat(takeStartedOn()).isEmpty();
  }

  /** Failure is final, but the drain will end. */
  @Test
  void jobThatOnlyDrainedWorkersCouldRunIsRefusedAndNotFailed() {
    learnWorkers(NORTH, SOUTH);
    drain("north");
    submit(taskOn("n"));
    DispatchAction.Finish end = takeActions(DispatchAction.Finish.class).get(0);
    assertThat(end.outcome()).isEqualTo(JobOutcome.REFUSED);
    assertThat(end.retryAfterMillis()).isGreaterThan(0);
    submit(taskOn("nowhere"));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.FAILED);
  }

  /** The job would otherwise wait until its deadline. */
  @Test
  void waitingJobIsRefusedWhenItsOnlyWorkersAreDrained() {
    submit(taskOn("n"));
    drain("north");
    assertThat(takeStartedOn()).isEmpty();
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.REFUSED);
  }

  /** A refusal says that nothing ran, so that the caller would run the job a second time. */
  @Test
  void startedJobIsNotRefused() {
    drain();
    submit(new StepSpec(2, new Resources(1_000, 1, 0), 50, List.of(), "n", "", 0));
    assertThat(takeStartedOn()).containsExactly("n");
    drain("north");
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
  }

  /** The leader of an isolated domain has only that domain's workers. */
  @Test
  void leaderOfDrainedDomainStartsNothingAndRefusesAtOnce() {
    startTerm(POLICY.forDomain(), NORTH);
    submit(1);
    assertThat(takeStartedOn()).isEmpty();
    drain("north");
    submit(1);
    assertThat(takeStartedOn()).isEmpty();
    assertThat(
            takeActions(DispatchAction.Finish.class).stream().map(DispatchAction.Finish::outcome))
        .containsExactly(JobOutcome.REFUSED, JobOutcome.REFUSED);
  }

  /** Its workers are idle: it must not step down as if another leader used them. */
  @Test
  void leaderOfDomainWaitsForTheDrainedDomains() {
    startTerm(POLICY.forDomain(), NORTH);
    submit(1);
    tick(2_000);
    assertThat(takeStartedOn()).isEmpty();
    assertThat(takeActions(DispatchAction.StepDown.class)).isEmpty();
  }

  /** The backlog would be underestimated, and jobs that cannot meet their objectives would wait. */
  @Test
  void drainedWorkersDoNotCountAsCapacity() {
    drain("south");
    DispatchSnapshot snapshot = dispatcher.snapshot(now);
    assertThat(snapshot.workers().usable()).isEqualTo(1);
    assertThat(snapshot.workers().usableFreeCpuMillis()).isEqualTo(1_000);
    assertThat(snapshot.drain())
        .isEqualTo(new DispatchSnapshot.Drain(true, List.of("south"), 1, 0));
    for (int i = 0; i < 40; i++) {
      submit(40);
    }
    tick(20);
    // 1,600 tasks of 50 ms wait for one core; on the 64 drained cores many would meet their
    // objectives.
    assertThat(dispatcher.snapshot(now).waitingMicros()).isGreaterThan(200_000);
    assertThat(takeActions(DispatchAction.Finish.class)).isNotEmpty();
  }

  /** The operator waits for this event; repeating it at each tick would flood the log. */
  @Test
  void logsOnceThatDrainedDomainIsIdle() {
    drain("south");
    submit(1);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("n", run);
    actions.clear();
    drain("north");
    assertThat(takeLoggedEvents()).doesNotContain(LogEvent.DOMAIN_IDLE);
    report("n", List.of(), new Completion(1, run, RunOutcome.DONE));
    tick(20);
    assertThat(takeLoggedEvents()).contains(LogEvent.DOMAIN_IDLE);
    tick(20);
    assertThat(takeLoggedEvents()).doesNotContain(LogEvent.DOMAIN_IDLE);
  }

  /** At the start of a term no worker is known, which must not be mistaken for an idle domain. */
  @Test
  void domainIsNotIdleBeforeItsWorkersAreKnown() {
    dispatcher = new Dispatcher(POLICY, now, now, 0);
    drain("north");
    tick(20);
    listWorkers(NORTH);
    tick(20);
    step(1, new DispatchEvent.RosterLoaded(List.of(NORTH)));
    tick(20);
    assertThat(takeLoggedEvents()).doesNotContain(LogEvent.DOMAIN_IDLE);
    report("n", List.of());
    tick(20);
    assertThat(takeLoggedEvents()).contains(LogEvent.DOMAIN_IDLE);
  }

  /** A cold worker that is fully loaded at once makes all its tasks late. */
  @Test
  void workerThatWarmsUpIsAssignedMoreTasksInStages() {
    startTerm(POLICY, worker("n", "north", 64_000, 4_000));
    drain();
    submit(20);
    assertThat(takeStartedOn()).hasSize(1);
    tick(1_100);
    assertThat(takeStartedOn()).hasSize(1);
    tick(1_000);
    assertThat(takeStartedOn()).hasSize(2);
    tick(2_000);
    assertThat(takeStartedOn()).hasSize(16);
  }

  /** Workers that were idle during a drain are cold again. */
  @Test
  void workerWarmsUpAfterTheDrainOfItsDomain() {
    startTerm(POLICY, worker("n", "north", 64_000, 4_000));
    drain("north");
    tick(10_000);
    drain();
    submit(20);
    assertThat(takeStartedOn()).hasSize(1);
  }
}
