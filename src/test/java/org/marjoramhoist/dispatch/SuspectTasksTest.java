package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;

/** How a leader runs the tasks of workers that were lost. */
class SuspectTasksTest extends DispatcherFixture {

  private static final JobId FIRST = new JobId("00000000000000a1");
  private static final JobId SECOND = new JobId("00000000000000a2");
  private static final JobId THIRD = new JobId("00000000000000a3");
  private static final JobId FOURTH = new JobId("00000000000000a4");

  private long patienceMicros = 60_000 * MICROS_PER_MILLI;
  private long done;

  @BeforeEach
  void listWorker() {
    listWorkers(worker("w", 2_000, false));
    report("w", List.of());
    step(0, new DispatchEvent.JobsLoaded(1, List.of(), List.of()));
    actions.clear();
  }

  private void submit(JobId id, int tasks) {
    submit(id, tasks(tasks, List.of()));
  }

  private void submit(JobId id, StepSpec step) {
    JobDescription job = new JobDescription(id, "p", List.of(step), Set.of());
    long deadline = now + patienceMicros;
    step(1, new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "e", now, deadline, 0));
  }

  private List<DispatchAction.Start> confirmStarts() {
    List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
    starts.forEach(start -> confirmStart(start.worker().id(), start.run()));
    return starts;
  }

  /** Has a worker refuse connections until its leases have ended; others are listed beside it. */
  private void loseWorker(WorkerInfo lost, WorkerInfo... others) {
    step(1, new DispatchEvent.RenewalFailed(lost.id(), CallFailure.BROKEN));
    step(1, new DispatchEvent.RenewalFailed(lost.id(), CallFailure.REFUSED));
    List<WorkerInfo> listed = new ArrayList<>(List.of(others));
    listed.add(lost);
    listWorkers(listed.toArray(WorkerInfo[]::new));
    for (WorkerInfo each : others) {
      report(each.id(), List.of());
    }
    for (int i = 0; i < 60; i++) {
      step(20, new DispatchEvent.Tick());
    }
  }

  private void replaceWorker(String id) {
    step(1, new DispatchEvent.RenewalAnswered(id, now, Optional.empty()));
  }

  private Optional<DispatchAction.Finish> finishOf(JobId id) {
    return takeActions(DispatchAction.Finish.class).stream()
        .filter(finish -> finish.job().equals(id))
        .findFirst();
  }

  private static List<JobId> jobsOf(List<DispatchAction.Start> starts) {
    return starts.stream().map(start -> start.run().task().job()).toList();
  }

  /** Reports that the first of some runs on a worker are done and the others still active. */
  private void reportDone(String worker, List<DispatchAction.Start> runs, int count) {
    List<WorkerReport.Completion> completions = new ArrayList<>();
    for (DispatchAction.Start each : runs.subList(0, count)) {
      completions.add(new WorkerReport.Completion(++done, each.run(), RunOutcome.DONE));
    }
    List<WorkerReport.ActiveRun> active =
        runs.subList(count, runs.size()).stream()
            .map(each -> new WorkerReport.ActiveRun(each.run(), 10))
            .toList();
    report(worker, active, completions.toArray(WorkerReport.Completion[]::new));
  }

  /** Two tasks ran on the lost worker; any of them may have ended it. */
  @Test
  void tasksOfLostWorkerRunOneByOneOnceNobodyElseNeedsTheWorker() {
    submit(FIRST, 2);
    assertThat(confirmStarts()).hasSize(2);
    loseWorker(worker("w", 2_000, false), worker("x", 2_000, false));
    final List<DispatchAction.Start> first = confirmStarts();
    assertThat(jobsOf(first)).containsExactly(FIRST);
    submit(SECOND, 2);
    assertThat(confirmStarts()).isEmpty();
    reportDone("x", first, 1);
    final List<DispatchAction.Start> others = confirmStarts();
    assertThat(jobsOf(others)).containsExactly(SECOND, SECOND);
    reportDone("x", others, 1);
    assertThat(confirmStarts()).isEmpty();
    reportDone("x", others.subList(1, 2), 1);
    assertThat(jobsOf(confirmStarts())).containsExactly(FIRST);
  }

  /** The run that its worker started last has probably ended it. */
  @Test
  void workerIsReservedForTaskThatIsNotTheLikeliestCause() {
    submit(FIRST, 1);
    confirmStarts();
    step(200, new DispatchEvent.Tick());
    submit(SECOND, 1);
    confirmStarts();
    WorkerInfo x = worker("x", 2_000, false);
    listWorkers(worker("w", 2_000, false), x);
    report("x", List.of());
    submit(THIRD, 2);
    final List<DispatchAction.Start> others = confirmStarts();
    assertThat(jobsOf(others)).containsExactly(THIRD, THIRD);
    step(1, new DispatchEvent.RenewalFailed("w", CallFailure.BROKEN));
    step(1, new DispatchEvent.RenewalFailed("w", CallFailure.REFUSED));
    for (int i = 0; i < 60; i++) {
      step(20, new DispatchEvent.Tick());
    }
    submit(FOURTH, 1);
    reportDone("x", others, 1);
    assertThat(confirmStarts()).isEmpty();
    reportDone("x", others.subList(1, 2), 1);
    assertThat(jobsOf(confirmStarts())).containsExactly(FIRST);
  }

  @Test
  void jobFailsOnceSecondWorkerCrashedUnderItsTaskAlone() {
    submit(FIRST, 1);
    confirmStarts();
    loseWorker(worker("w", 2_000, false), worker("x", 2_000, false));
    assertThat(confirmStarts()).hasSize(1);
    loseWorker(worker("x", 2_000, false), worker("y", 2_000, false));
    assertThat(confirmStarts()).isEmpty();
    replaceWorker("w");
    assertThat(finishOf(FIRST)).isEqualTo(Optional.empty());
    replaceWorker("x");
    assertThat(outcomeOf(FIRST)).isEqualTo(Optional.of(JobOutcome.FAILED));
    submit(FIRST, 1);
    assertThat(confirmStarts()).isEmpty();
  }

  private Optional<JobOutcome> outcomeOf(JobId id) {
    return finishOf(id).map(DispatchAction.Finish::outcome);
  }

  /** Such a job was answered as failed, though its task had not failed. */
  @Test
  void impatientJobIsAbandonedAtOnceWhenItsTaskWasLostTwiceWithoutProof() {
    patienceMicros = 4_000 * MICROS_PER_MILLI;
    submit(FIRST, 1);
    confirmStarts();
    loseWorker(worker("w", 2_000, false), worker("x", 2_000, false));
    assertThat(confirmStarts()).hasSize(1);
    step(1, new DispatchEvent.RenewalFailed("x", CallFailure.BROKEN));
    step(1, new DispatchEvent.RenewalFailed("x", CallFailure.REFUSED));
    assertThat(outcomeOf(FIRST)).isEqualTo(Optional.of(JobOutcome.ABANDONED));
    submit(FIRST, 1);
    assertThat(outcomeOf(FIRST)).isEqualTo(Optional.of(JobOutcome.ABANDONED));
    replaceWorker("w");
    replaceWorker("x");
    submit(FIRST, 1);
    assertThat(outcomeOf(FIRST)).isEqualTo(Optional.of(JobOutcome.FAILED));
    assertThat(confirmStarts()).isEmpty();
  }

  /** Its worker stayed reserved for it, though a task is not run where it failed last. */
  @Test
  void taskThatFailsAloneRunsOnAnotherWorker() {
    submit(FIRST, 1);
    confirmStarts();
    loseWorker(worker("w", 2_000, false), worker("x", 2_000, false), worker("y", 2_000, false));
    DispatchAction.Start alone = confirmStarts().get(0);
    report(
        alone.worker().id(),
        List.of(),
        new WorkerReport.Completion(1, alone.run(), RunOutcome.FAILED));
    step(20, new DispatchEvent.Tick());
    assertThat(confirmStarts().get(0).worker().id()).isNotEqualTo(alone.worker().id());
  }

  /** Each round reserved one more worker for a task that waited for one near its data. */
  @Test
  void onlyOneWorkerIsReservedForTaskThatWaitsForItsRack() {
    policy =
        POLICY.withScheduling(
            SchedulingPolicy.DEFAULT.withPlacement(SchedulingPolicy.Placement.SLACK));
    beginTerm(now);
    listWorkers(worker("w", 2_000, false));
    report("w", List.of());
    submit(FIRST, new StepSpec(1, new Resources(1_000, 1, 0), 9_000, List.of(), "", "r-1", 0));
    confirmStarts();
    step(1, new DispatchEvent.RenewalFailed("w", CallFailure.BROKEN));
    step(1, new DispatchEvent.RenewalFailed("w", CallFailure.REFUSED));
    List<WorkerInfo> others = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      others.add(onRack("far" + i, "r-2"));
    }
    others.add(onRack("near", "r-1"));
    listWorkers(others.toArray(WorkerInfo[]::new));
    others.forEach(each -> report(each.id(), List.of()));
    submit(SECOND, new StepSpec(1, new Resources(2_000, 1, 0), 900, List.of(), "", "r-1", 0));
    confirmStarts();
    for (int i = 0; i < 90; i++) {
      step(20, new DispatchEvent.Tick());
    }
    assertThat(dispatcher.snapshot(now).suspects().reservedWorkers()).isAtMost(1);
    assertThat(dispatcher.snapshot(now).workers().usable()).isAtLeast(12);
  }

  private static WorkerInfo onRack(String id, String rack) {
    return placed(id, "d", rack);
  }

  private static WorkerInfo inDomain(String id, String domain) {
    return placed(id, domain, "r-" + domain);
  }

  private static WorkerInfo placed(String id, String domain, String rack) {
    WorkerInfo info = worker(id, 2_000, false);
    return new WorkerInfo(
        id,
        info.upstream(),
        info.address(),
        domain,
        info.capacity(),
        info.kind(),
        rack,
        Set.of(info.kind(), rack),
        false,
        1);
  }

  /** The end of a run of an earlier leader makes a task done whose present run is still at work. */
  @Test
  void taskThatIsDoneWhileItRunsAloneIsNoSuspect() {
    submit(FIRST, 2);
    confirmStarts();
    loseWorker(worker("w", 2_000, false), worker("x", 2_000, false), worker("y", 2_000, false));
    DispatchAction.Start alone = confirmStarts().get(0);
    RunRef earlier = new RunRef(alone.run().task(), 1_000);
    report("y", List.of(), new WorkerReport.Completion(1, earlier, RunOutcome.DONE));
    step(20, new DispatchEvent.Tick());
    assertThat(confirmStarts()).hasSize(1);
  }

  /** A job is failed after as many failed runs as its class allows, each of them counted once. */
  @Test
  void failedRunOfEarlierLeaderCountsOnceHoweverOftenItIsListed() {
    submit(FIRST, 1);
    RunRef present = confirmStarts().get(0).run();
    RunRef earlier = new RunRef(present.task(), 1_000);
    List<WorkerReport.ActiveRun> active = List.of(new WorkerReport.ActiveRun(present, 10));
    for (int sequence = 1; sequence <= REQUEST_CLASS.attempts(); sequence++) {
      report("w", active, new WorkerReport.Completion(sequence, earlier, RunOutcome.FAILED));
    }
    assertThat(outcomeOf(FIRST)).isEqualTo(Optional.empty());
  }

  @Test
  void workersThatAnswerAgainHaveNotCrashed() {
    submit(FIRST, 2);
    confirmStarts();
    loseWorker(worker("w", 2_000, false), worker("x", 2_000, false));
    RunRef run = confirmStarts().get(0).run();
    report("w", List.of());
    report("x", List.of(new WorkerReport.ActiveRun(run, 10)));
    step(20, new DispatchEvent.Tick());
    assertThat(confirmStarts()).hasSize(1);
  }

  @Test
  void workerThatWasShuttingDownIsNotHeldAgainstItsTasks() {
    submit(FIRST, 2);
    confirmStarts();
    listWorkers(worker("w", 2_000, true));
    loseWorker(worker("w", 2_000, true), worker("x", 2_000, false));
    assertThat(confirmStarts()).hasSize(2);
  }

  /** A rack without power loses all its workers at once. */
  @Test
  void workersLostTogetherAreNotHeldAgainstTheirTasks() {
    listWorkers(worker("w", 2_000, false), worker("v", 2_000, false), worker("u", 2_000, false));
    report("v", List.of());
    report("u", List.of());
    submit(FIRST, 6);
    assertThat(confirmStarts()).hasSize(6);
    for (String id : List.of("u", "v", "w")) {
      step(0, new DispatchEvent.RenewalFailed(id, CallFailure.BROKEN));
      step(0, new DispatchEvent.RenewalFailed(id, CallFailure.REFUSED));
    }
    listWorkers(worker("x", 12_000, false));
    report("x", List.of());
    for (int i = 0; i < 70; i++) {
      step(20, new DispatchEvent.Tick());
    }
    assertThat(confirmStarts()).hasSize(6);
  }

  /** Some forty tasks were suspected, and workers reserved for them, in each cut of a domain. */
  @Test
  void workersLostWithTheirFailureDomainAreNotHeldAgainstTheirTasks() {
    listWorkers(onRack("w", "r-1"), onRack("v", "r-2"), onRack("u", "r-3"), inDomain("x", "other"));
    List.of("v", "u", "x").forEach(id -> report(id, List.of()));
    submit(FIRST, 8);
    assertThat(confirmStarts()).hasSize(8);
    List.of("u", "v", "w").forEach(id -> fail(id, CallFailure.BROKEN));
    List.of("u", "v", "w").forEach(id -> fail(id, CallFailure.REFUSED));
    assertThat(suspects()).isEqualTo(0);
    for (int i = 0; i < 70; i++) {
      step(20, new DispatchEvent.Tick());
      assertThat(suspects()).isEqualTo(0);
    }
  }

  @Test
  void lossesAreWithdrawnOnceWorkersNearbyTurnOutToBeLostToo() {
    listWorkers(onRack("w", "r-1"), onRack("v", "r-2"), onRack("u", "r-3"));
    List.of("v", "u").forEach(id -> report(id, List.of()));
    submit(FIRST, 1);
    String lost = confirmStarts().get(0).worker().id();
    final List<String> others =
        List.of("u", "v", "w").stream().filter(id -> !id.equals(lost)).toList();
    fail(lost, CallFailure.BROKEN);
    fail(lost, CallFailure.REFUSED);
    assertThat(suspects()).isEqualTo(1);
    List<String> asked =
        takeActions(DispatchAction.Renew.class).stream().map(each -> each.worker().id()).toList();
    assertThat(asked).containsAtLeastElementsIn(others);
    others.forEach(id -> fail(id, CallFailure.REFUSED));
    fail(lost, CallFailure.REFUSED);
    assertThat(suspects()).isEqualTo(0);
  }

  private void fail(String worker, CallFailure failure) {
    step(0, new DispatchEvent.RenewalFailed(worker, failure));
  }

  private int suspects() {
    DispatchSnapshot.Suspects suspects = dispatcher.snapshot(now).suspects();
    return suspects.exclusive() + suspects.held();
  }

  /** The second run of such a task went to a worker behind the same cut. */
  @Test
  void suspectedTaskRunsOnlyWhereSomethingWasHeardSinceItsLoss() {
    submit(FIRST, 1);
    confirmStarts();
    listWorkers(worker("w", 2_000, false), worker("x", 2_000, false), inDomain("y", "other"));
    List.of("x", "y").forEach(id -> report(id, List.of()));
    step(1, new DispatchEvent.Tick());
    fail("w", CallFailure.BROKEN);
    fail("w", CallFailure.REFUSED);
    for (int i = 0; i < 60; i++) {
      step(20, new DispatchEvent.Tick());
    }
    assertThat(confirmStarts()).isEmpty();
    fail("x", CallFailure.BROKEN);
    report("y", List.of());
    step(20, new DispatchEvent.Tick());
    assertThat(confirmStarts().get(0).worker().id()).isEqualTo("y");
  }

  /** A worker that refused the order to start a task was held against the task. */
  @Test
  void runThatWasNotSentIsNoLoss() {
    submit(FIRST, 1);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    fail("w", CallFailure.BROKEN);
    fail("w", CallFailure.REFUSED);
    step(0, unanswered("w", run, false));
    assertThat(suspects()).isEqualTo(0);
  }

  @Test
  void laterLeaderKnowsUnderWhichTasksWorkersCrashed() {
    JobDescription job =
        new JobDescription(FIRST, "p", List.of(tasks(1, List.of())), Set.of(JobFeature.DURABLE));
    final StoredJob record = new StoredJob(job, REQUEST_CLASS, 10_000);
    WorkerLoss first = new WorkerLoss(65, "a", false, true, WorkerLoss.Evidence.CRASHED);
    WorkerLoss second = new WorkerLoss(66, "b", true, true, WorkerLoss.Evidence.REFUSED);
    final JobProgress progress =
        new JobProgress(
            JobStatus.RUNNING,
            List.of(),
            List.of(),
            0,
            List.of(new JobProgress.LostRuns(0, 0, first), new JobProgress.LostRuns(0, 0, second)));
    beginTerm(now);
    listWorkers(worker("w", 2_000, false), worker("b", 2_000, false));
    report("w", List.of());
    DispatchEvent.LoadedJob loaded = new DispatchEvent.LoadedJob(record, Optional.of(progress));
    step(1, new DispatchEvent.JobsLoaded(2, List.of(loaded), List.of()));
    step(20, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    replaceWorker("b");
    step(20, new DispatchEvent.Tick());
    JournalBatch batch = takeActions(DispatchAction.Store.class).get(0).batch();
    assertThat(batch.progress().get(FIRST).status()).isEqualTo(JobStatus.FAILED);
  }

  @Test
  void lossIsStoredWithTheProgressOfItsJob() {
    JobDescription job =
        new JobDescription(FIRST, "p", List.of(tasks(1, List.of())), Set.of(JobFeature.DURABLE));
    final StoredJob record = new StoredJob(job, REQUEST_CLASS, 10_000);
    step(1, new DispatchEvent.JobCallReceived(JobCallKind.SUBMIT, FIRST, record, "e", 1, now));
    step(30, new DispatchEvent.Tick());
    long number = takeActions(DispatchAction.Store.class).get(0).batch().number();
    step(5, new DispatchEvent.BatchStored(number));
    final RunRef run = confirmStarts().get(0).run();
    loseWorker(worker("w", 2_000, false), worker("x", 2_000, false));
    step(300, new DispatchEvent.Tick());
    List<DispatchAction.Store> stores = takeActions(DispatchAction.Store.class);
    assertThat(stores).isNotEmpty();
    assertThat(stores.get(0).batch().progress().get(FIRST).lost())
        .containsExactly(
            new JobProgress.LostRuns(
                0, 0, new WorkerLoss(run.number(), "w", false, true, WorkerLoss.Evidence.REFUSED)));
  }
}
