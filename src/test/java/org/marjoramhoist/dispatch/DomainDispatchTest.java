package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerReport.ActiveRun;
import org.marjoramhoist.dispatch.WorkerReport.Completion;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/** The leader of an isolated failure domain, while a partition's leader may still exist. */
class DomainDispatchTest extends DispatcherFixture {

  private static final RunRef FOREIGN_RUN =
      new RunRef(new TaskRef(new JobId("00000000000000ff"), 0, 0), 3);

  /** A run of a durable job, as its number tells. */
  private static final RunRef DURABLE_RUN = new RunRef(FOREIGN_RUN.task(), 65);

  private static final List<WorkerInfo> WORKERS =
      List.of(worker("w", 4_000, false), worker("x", 4_000, false));

  private static final RequestClass UNGUARDED =
      new RequestClass("fill", "h", "/f/", "reviews", 0, 3, 1.6, 60, false, true);

  private int jobCount;

  @BeforeEach
  void startTerm() {
    beginTermWith(POLICY.forDomain(), WORKERS);
  }

  private void beginTermWith(DispatchPolicy domainPolicy, List<WorkerInfo> workers) {
    dispatcher = new Dispatcher(domainPolicy, now, now, 0);
    step(0, new DispatchEvent.DomainsDrained(Set.of()));
    step(0, new DispatchEvent.RosterLoaded(workers));
    step(0, new DispatchEvent.JobsLoaded(0, List.of(), List.of()));
    step(0, new DispatchEvent.WorkersListed(workers));
    actions.clear();
  }

  private JobId submit(int tasks) {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++jobCount));
    JobDescription job = new JobDescription(id, "p", List.of(tasks(tasks, List.of())), Set.of());
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, "e", now, now + 5_000 * MICROS_PER_MILLI, 0));
    return id;
  }

  private void tick(long millis) {
    step(millis, new DispatchEvent.Tick());
  }

  private static List<ActiveRun> foreignRuns() {
    return List.of(new ActiveRun(FOREIGN_RUN, 10));
  }

  @Test
  void startsNothingBeforeAllWorkersAreFreeOfOthersRuns() {
    report("w", List.of());
    report("x", foreignRuns());
    submit(2);
    tick(20);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    report("x", List.of());
    tick(20);
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(2);
  }

  @Test
  void neitherStopsNorRenewsRunsOfOthersAndAcknowledgesNothing() {
    report("w", List.of());
    report("x", foreignRuns(), new Completion(1, FOREIGN_RUN, RunOutcome.DONE));
    for (int i = 0; i < 20; i++) {
      tick(50);
      report("x", foreignRuns(), new Completion(1, FOREIGN_RUN, RunOutcome.DONE));
    }
    assertThat(takeActions(DispatchAction.Stop.class)).isEmpty();
    for (DispatchAction.Renew renew : takeActions(DispatchAction.Renew.class)) {
      assertThat(renew.leaseUntilMillis()).isEqualTo(0);
      assertThat(renew.acknowledged()).isEqualTo(0);
    }
  }

  @Test
  void refusesJobsIfItKnowsNoWorkers() {
    beginTermWith(POLICY.forDomain(), List.of());
    submit(1);
    DispatchAction.Finish finish = takeActions(DispatchAction.Finish.class).get(0);
    assertThat(finish.outcome()).isEqualTo(JobOutcome.REFUSED);
    assertThat(finish.retryAfterMillis()).isGreaterThan(0);
  }

  @Test
  void refusesJobThatOnlyWorkersOfOtherDomainsMayRun() {
    beginTermWith(POLICY.forDomain(), List.of(worker("w", 500, false)));
    submit(1);
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.REFUSED);
  }

  @Test
  void stepsDownIfRunsOfOthersContinue() {
    report("w", List.of());
    report("x", foreignRuns());
    tick(1_500);
    assertThat(takeActions(DispatchAction.StepDown.class)).isEmpty();
    tick(200);
    assertThat(takeActions(DispatchAction.StepDown.class)).hasSize(1);
  }

  @Test
  void stepsDownWhenRunOfAnotherLeaderAppears() {
    report("w", List.of());
    report("x", List.of());
    submit(1);
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
    report("x", foreignRuns());
    tick(20);
    assertThat(takeActions(DispatchAction.StepDown.class)).hasSize(1);
  }

  /** Guards against a run whose start was executed late and that outlives its own lease. */
  @Test
  void stopsRunOfAnotherLeaderThatItsOwnLeaseWouldKeepAlive() {
    report("w", List.of());
    report("x", List.of());
    submit(1);
    RunRef own = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", own);
    takeActions(DispatchAction.Renew.class);
    report("w", List.of(new ActiveRun(own, 10), new ActiveRun(FOREIGN_RUN, 10)));
    assertThat(takeActions(DispatchAction.Stop.class).get(0).run()).isEqualTo(FOREIGN_RUN);
    takeActions(DispatchAction.Renew.class)
        .forEach(renew -> assertThat(renew.leaseUntilMillis()).isEqualTo(0));
  }

  /** A leader that has handed over leaves the runs of its successor alone. */
  @Test
  void stopsNoRunOfItsSuccessor() {
    report("w", List.of());
    report("x", List.of());
    submit(1);
    RunRef own = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", own);
    step(0, new DispatchEvent.HandOverStarted("test"));
    takeActions(DispatchAction.Stop.class);
    report("w", List.of(new ActiveRun(own, 10), new ActiveRun(FOREIGN_RUN, 10)));
    assertThat(takeActions(DispatchAction.Stop.class)).isEmpty();
  }

  /**
   * Guards against a task that was done behind the cut and starts again outside: the lease of its
   * worker must lapse before this leader extends it.
   */
  @Test
  void usesWorkerWithCompletionOfAnotherLeaderOnlyAfterItsLease() {
    Completion done = new Completion(1, DURABLE_RUN, RunOutcome.DONE);
    report("w", List.of());
    report("x", List.of(), done);
    submit(6);
    assertThat(startedOn()).containsExactly("w");
    tick(950);
    report("x", List.of(), done);
    assertThat(startedOn()).doesNotContain("x");
    tick(100);
    report("x", List.of(), done);
    assertThat(startedOn()).contains("x");
  }

  /** A best-effort job may run again after such an end, but not beside it. */
  @Test
  void usesWorkerAtOnceWithCompletionOfBestEffortJob() {
    report("w", List.of());
    report("x", List.of(), new Completion(1, FOREIGN_RUN, RunOutcome.DONE));
    submit(6);
    assertThat(startedOn()).containsExactly("w", "x");
  }

  /** A run that lapsed after the completion proves that the lease has, whoever extended it. */
  @Test
  void usesWorkerAtOnceWhoseRunsLapsedAfterCompletionOfAnotherLeader() {
    RunRef other = new RunRef(FOREIGN_RUN.task(), 66);
    report("w", List.of());
    report(
        "x",
        List.of(),
        new Completion(1, DURABLE_RUN, RunOutcome.DONE),
        new Completion(2, other, RunOutcome.LAPSED));
    submit(6);
    assertThat(startedOn()).containsExactly("w", "x");
  }

  /** The predecessor has used the worker, so the completions are its own. */
  @Test
  void successorUsesWorkersOfPredecessorAtOnce() {
    startSuccessorTerm();
    step(0, new DispatchEvent.PredecessorHandedOver(Set.of(), Set.of("x")));
    report("w", List.of(), new Completion(1, DURABLE_RUN, RunOutcome.DONE));
    report("x", List.of(), new Completion(1, DURABLE_RUN, RunOutcome.DONE));
    submit(2);
    assertThat(startedOn()).containsExactly("x");
  }

  private JobId submitUnguarded() {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++jobCount));
    submitUnguarded(id);
    return id;
  }

  private void submitUnguarded(JobId id) {
    JobDescription job = new JobDescription(id, "p", List.of(tasks(1, List.of())), Set.of());
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job, UNGUARDED, "e", now, now + 5_000 * MICROS_PER_MILLI, 0));
  }

  /** Guards against a job that is reported as not run although it was started before. */
  @Test
  void startedJobIsNotRefusedWhenItsWorkersAreShared() {
    report("w", List.of());
    report("x", List.of());
    JobId id = submitUnguarded();
    assertThat(startedOn()).hasSize(1);
    step(10, new DispatchEvent.JobWithdrawn(id, "e"));
    step(10, new DispatchEvent.DomainsShared(Set.of("d")));
    actions.clear();
    submitUnguarded(id);
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.ABANDONED);
  }

  /** Guards against workers that two leaders fill beyond their capacity. */
  @Test
  void refusesJobAtOnceWhoseWorkersAnotherLeaderMayFill() {
    step(0, new DispatchEvent.DomainsShared(Set.of("d")));
    report("w", List.of());
    report("x", List.of());
    submitUnguarded();
    assertThat(startedOn()).isEmpty();
    DispatchAction.Finish finish = takeActions(DispatchAction.Finish.class).get(0);
    assertThat(finish.outcome()).isEqualTo(JobOutcome.REFUSED);
    assertThat(finish.retryAfterMillis()).isGreaterThan(0);
    submit(1);
    assertThat(startedOn()).hasSize(1);
  }

  /** What ran there while another leader used the worker must be known. */
  @Test
  void usesUnguardedWorkerOnlyAfterReportSinceItIsExclusive() {
    step(0, new DispatchEvent.DomainsShared(Set.of("d")));
    report("w", List.of());
    report("x", List.of());
    step(10, new DispatchEvent.DomainsShared(Set.of()));
    submitUnguarded();
    tick(200);
    assertThat(startedOn()).isEmpty();
    assertThat(takeActions(DispatchAction.Renew.class)).isNotEmpty();
    report("x", List.of());
    tick(20);
    assertThat(startedOn()).containsExactly("x");
  }

  private Set<String> startedOn() {
    return takeActions(DispatchAction.Start.class).stream()
        .map(start -> start.worker().id())
        .collect(Collectors.toSet());
  }

  @Test
  void stepsDownWhenAnotherLeaderStopsItsRun() {
    report("w", List.of());
    report("x", List.of());
    submit(1);
    DispatchAction.Start start = takeActions(DispatchAction.Start.class).get(0);
    confirmStart(start.worker().id(), start.run());
    report(start.worker().id(), List.of(), new Completion(1, start.run(), RunOutcome.STOPPED));
    assertThat(takeActions(DispatchAction.StepDown.class)).hasSize(1);
  }

  @Test
  void endOfTermRefusesOnlyJobsWithoutStartedTask() {
    report("w", List.of());
    report("x", List.of());
    submit(8);
    submit(1);
    actions.removeIf(action -> !(action instanceof DispatchAction.Finish));
    step(0, new DispatchEvent.TermEnded("the network partition is over"));
    List<JobOutcome> ends =
        takeActions(DispatchAction.Finish.class).stream()
            .map(DispatchAction.Finish::outcome)
            .toList();
    assertThat(ends).containsExactly(JobOutcome.ABANDONED, JobOutcome.REFUSED).inOrder();
  }

  private void startSuccessorTerm() {
    beginTermWith(POLICY.forDomainSuccessor(), WORKERS);
  }

  @Test
  void successorStartsOnFreeWorkersWhileRunsOfPredecessorEnd() {
    startSuccessorTerm();
    report("w", List.of());
    report("x", foreignRuns());
    submit(2);
    tick(20);
    List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
    assertThat(starts).hasSize(2);
    starts.forEach(start -> assertThat(start.worker().id()).isEqualTo("w"));
  }

  @Test
  void successorStepsDownIfRunsOfPredecessorContinue() {
    startSuccessorTerm();
    report("w", List.of());
    report("x", foreignRuns());
    tick(1_700);
    assertThat(takeActions(DispatchAction.StepDown.class)).hasSize(1);
  }

  /** The predecessor may renew a run of the job, so it must not be started a second time. */
  @Test
  void successorStartsNoJobThatPredecessorMayBeRunning() {
    startSuccessorTerm();
    report("w", List.of());
    report("x", List.of());
    JobId retained = new JobId(String.format(Locale.ROOT, "%016x", jobCount + 1));
    step(0, new DispatchEvent.PredecessorHandedOver(Set.of(retained), Set.of()));
    submit(1);
    tick(20);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.ABANDONED);
  }

  @Test
  void handOverKeepsOnlyJobsWithAllTasksStarted() {
    report("w", List.of());
    report("x", List.of());
    submit(2);
    final JobId partlyStarted = submit(12);
    final JobId unstarted = submit(1);
    actions.removeIf(action -> !(action instanceof DispatchAction.Finish));
    step(0, new DispatchEvent.HandOverStarted("test"));
    List<DispatchAction.Finish> ends = takeActions(DispatchAction.Finish.class);
    assertThat(ends.stream().map(DispatchAction.Finish::job).toList())
        .containsExactly(partlyStarted, unstarted);
    assertThat(ends.stream().map(DispatchAction.Finish::outcome).toList())
        .containsExactly(JobOutcome.ABANDONED, JobOutcome.REFUSED);
    actions.clear();
    submit(1);
    tick(20);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    assertThat(takeActions(DispatchAction.Finish.class)).hasSize(1);
  }
}
