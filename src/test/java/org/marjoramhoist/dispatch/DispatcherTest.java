package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.TaskRef;
import org.marjoramhoist.log.LogEvent;

class DispatcherTest extends DispatcherFixture {

  private int jobCount;

  @BeforeEach
  void listWorker() {
    listWorkers(worker("w", 64_000, false));
    report("w", List.of());
    actions.clear();
  }

  private JobId submit(int tasks, int generation, StepSpec... steps) {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++jobCount));
    List<StepSpec> list = steps.length > 0 ? List.of(steps) : List.of(tasks(tasks, List.of()));
    JobDescription job = new JobDescription(id, "p", list, Set.of());
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, "e", now, now + 2_000 * MICROS_PER_MILLI, generation));
    return id;
  }

  /** Jobs that waited for a leader arrive together, before its workers have reported. */
  @Test
  void refusesNoLateJobForWhichAnUnreportedWorkerMayHaveCapacity() {
    beginTerm(now);
    listWorkers(worker("w", 64_000, false));
    for (int i = 0; i < 60; i++) {
      JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++jobCount));
      JobDescription job = new JobDescription(id, "p", List.of(tasks(1, List.of())), Set.of());
      long arrivedAt = now - 330 * MICROS_PER_MILLI;
      long deadline = now + 2_000 * MICROS_PER_MILLI;
      step(0, new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "e", arrivedAt, deadline, 0));
    }
    step(1, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
  }

  @Test
  void limitsUnansweredStartOrders() {
    submit(60, 0);
    List<DispatchAction.Start> first = takeActions(DispatchAction.Start.class);
    assertThat(first).hasSize(24);
    confirmStart("w", first.get(0).run());
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
  }

  @Test
  void snapshotCountsWorkersRunsAndWaitingJobs() {
    listWorkers(worker("w", 4_000, false), worker("x", 4_000, false), worker("y", 4_000, true));
    report("y", List.of());
    submit(3, 0);
    RunRef first = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", first);
    submit(2, 0);
    DispatchSnapshot snapshot = dispatcher.snapshot(now);
    assertThat(snapshot.workers())
        .isEqualTo(new DispatchSnapshot.Workers(3, 2, 1, 0, 12_000, 8_000, 0));
    assertThat(snapshot.runs()).isEqualTo(new DispatchSnapshot.Runs(3, 1, 0, 0, 0, 3, 0));
    assertThat(snapshot.startsAllowed()).isTrue();
    assertThat(snapshot.settled()).isTrue();
    assertThat(snapshot.waitingJobs()).isEqualTo(1);
  }

  @Test
  void startsNextStepOnlyAfterThePreviousOneIsDone() {
    StepSpec one = tasks(1, List.of());
    StepSpec two = tasks(1, List.of(0));
    submit(0, 0, one, two);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    assertThat(run.task().step()).isEqualTo(0);
    confirmStart("w", run);
    step(30, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    report("w", List.of(), new WorkerReport.Completion(1, run, RunOutcome.DONE));
    RunRef next = takeActions(DispatchAction.Start.class).get(0).run();
    assertThat(next.task().step()).isEqualTo(1);
    confirmStart("w", next);
    report("w", List.of(), new WorkerReport.Completion(2, next, RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }

  @Test
  void failsJobWhoseTaskFailsAsOftenAsItsClassAllows() {
    listWorkers(worker("w", 64_000, false), worker("x", 64_000, false));
    report("x", List.of());
    submit(1, 0);
    int attempts = 0;
    while (takeActions(DispatchAction.Finish.class).isEmpty()) {
      List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
      if (starts.isEmpty()) {
        step(20, new DispatchEvent.Tick());
        continue;
      }
      DispatchAction.Start start = starts.get(0);
      String at = start.worker().id();
      confirmStart(at, start.run());
      report(
          at, List.of(), new WorkerReport.Completion(++attempts, start.run(), RunOutcome.FAILED));
    }
    assertThat(attempts).isEqualTo(REQUEST_CLASS.attempts());
  }

  @Test
  void assignsNoNewWorkToDrainingWorker() {
    listWorkers(worker("w", 64_000, true));
    submit(1, 0);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
  }

  @Test
  void logsWhyStartWasNotAnswered() {
    submit(1, 0);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    takeActions(DispatchAction.Log.class);
    step(
        6,
        new DispatchEvent.StartUnanswered(
            "w", run, true, CallFailure.BROKEN, "connection lost: reset"));
    assertThat(takeActions(DispatchAction.Log.class).get(0).detail())
        .endsWith("worker=w mayRun=true failure=BROKEN reason=\"connection lost: reset\"");
  }

  @Test
  void restartsTaskOfUnansweredStartOnlyOnceItsRunIsOver() {
    submit(1, 0);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    step(200, unanswered("w", run, true));
    assertThat(takeActions(DispatchAction.Stop.class)).hasSize(1);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    step(5, new DispatchEvent.StopEnded("w", run, true));
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    report("w", List.of());
    RunRef next = takeActions(DispatchAction.Start.class).get(0).run();
    assertThat(next.number()).isGreaterThan(run.number());
  }

  @Test
  void requestsReportOfStoppedRunWhileAnotherRenewalWaits() {
    submit(2, 0);
    List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
    RunRef activeRun = starts.get(0).run();
    RunRef unansweredRun = starts.get(1).run();
    confirmStart("w", activeRun);
    assertThat(takeActions(DispatchAction.Renew.class)).hasSize(1);
    step(120, unanswered("w", unansweredRun, true));
    step(2, new DispatchEvent.StopEnded("w", unansweredRun, true));
    assertThat(takeActions(DispatchAction.Renew.class)).hasSize(1);
    report("w", List.of(new WorkerReport.ActiveRun(activeRun, 10)));
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
    assertThat(takeActions(DispatchAction.Renew.class)).isEmpty();
  }

  @Test
  void ignoresReportOlderThanOneAlreadyReceived() {
    submit(1, 0);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", run);
    final long older = now / MICROS_PER_MILLI;
    step(30, new DispatchEvent.Tick());
    report("w", List.of(), new WorkerReport.Completion(1, run, RunOutcome.LAPSED));
    RunRef next = takeActions(DispatchAction.Start.class).get(0).run();
    WorkerReport late =
        new WorkerReport(older, 5, List.of(new WorkerReport.ActiveRun(run, 10)), List.of(), true);
    step(1, new DispatchEvent.RenewalAnswered("w", now, Optional.of(late)));
    assertThat(takeActions(DispatchAction.Stop.class)).isEmpty();
    confirmStart("w", next);
    assertThat(dispatcher.snapshot(now).runs().foreign()).isEqualTo(0);
  }

  @Test
  void restartsTaskOfLostWorkerOnlyAfterItsLeaseHasCertainlyExpired() {
    submit(1, 0);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", run);
    final long answeredAt = now;
    listWorkers(worker("w", 64_000, false));
    step(400, new DispatchEvent.RenewalFailed("w"));
    step(150, new DispatchEvent.RenewalFailed("w"));
    step(
        1,
        new DispatchEvent.WorkersListed(
            List.of(worker("w", 64_000, false), worker("x", 64_000, false))));
    report("x", List.of());
    while (takeActions(DispatchAction.Start.class).isEmpty()) {
      step(20, new DispatchEvent.Tick());
    }
    // The lease expires 980 ms after the last renewal, on a clock that may run 2% slow.
    assertThat((now - answeredAt) / MICROS_PER_MILLI).isAtLeast(1_000);
    assertThat((now - answeredAt) / MICROS_PER_MILLI).isAtMost(1_500);
  }

  @Test
  void refusesOnlyJobsWithoutStartedTask() {
    final JobId running = submit(64, 0);
    takeActions(DispatchAction.Start.class).forEach(start -> confirmStart("w", start.run()));
    final JobId waiting = submit(64, 0);
    listWorkers(worker("w", 64_000, true));
    actions.removeIf(DispatchAction.Start.class::isInstance);
    step(3_000, new DispatchEvent.Tick());
    List<DispatchAction.Finish> ends = takeActions(DispatchAction.Finish.class);
    assertThat(ends).hasSize(2);
    for (DispatchAction.Finish end : ends) {
      boolean started = end.job().equals(running);
      assertThat(end.outcome()).isEqualTo(started ? JobOutcome.ABANDONED : JobOutcome.REFUSED);
    }
    assertThat(ends.stream().map(DispatchAction.Finish::job).toList())
        .containsExactly(running, waiting);
  }

  @Test
  void refusesJobsBehindLongBacklogBeforeTheirFirmDeadline() {
    for (int i = 0; i < 40; i++) {
      submit(60, 0);
    }
    // The objective is 140 ms, and the firm deadline is three times that.
    step(200, new DispatchEvent.Tick());
    List<DispatchAction.Finish> ends = takeActions(DispatchAction.Finish.class);
    assertThat(ends.size()).isAtLeast(20);
    for (DispatchAction.Finish end : ends) {
      assertThat(end.outcome()).isEqualTo(JobOutcome.REFUSED);
      assertThat(end.retryAfterMillis()).isAtLeast(1_000);
    }
    assertThat(ends.stream().map(DispatchAction.Finish::retryAfterMillis).distinct().count())
        .isAtLeast(10);
  }

  private List<DispatchAction.Log> takeLogsOfSubmissions() {
    return takeActions(DispatchAction.Log.class).stream()
        .filter(log -> log.event().name().startsWith("JOB_SUBMITTED"))
        .toList();
  }

  /** A leader that logs only ends of jobs can't tell why a refused job was started. */
  @Test
  void logsSubmissionThatMakesNewJobOfRefusedOne() {
    listWorkers(worker("w", 64_000, true));
    final JobId id = submit(1, 0);
    final String first = "job=" + id + " entry=e generation=0 ageMicros=1000";
    assertThat(takeLogsOfSubmissions())
        .containsExactly(new DispatchAction.Log(LogEvent.JOB_SUBMITTED, first + " previous=NONE"));
    jobCount--;
    submit(1, 0);
    assertThat(takeLogsOfSubmissions())
        .containsExactly(new DispatchAction.Log(LogEvent.JOB_SUBMITTED, first + " previous=OPEN"));
    step(3_000, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.REFUSED);
    listWorkers(worker("w", 64_000, false));
    jobCount--;
    submit(1, 0);
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
    DispatchAction.Log again = takeLogsOfSubmissions().get(0);
    assertThat(again.event()).isEqualTo(LogEvent.JOB_SUBMITTED_AGAIN);
    assertThat(again.detail())
        .startsWith(first + " previous=REFUSED agoMicros=1000 started=false reason=");
  }

  @Test
  void logsSubmissionOfCompleteJobAsAnsweredWithItsOutcome() {
    final JobId id = submit(1, 0);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", run);
    report("w", List.of(), new WorkerReport.Completion(1, run, RunOutcome.DONE));
    actions.clear();
    jobCount--;
    submit(1, 0);
    assertThat(takeLogsOfSubmissions())
        .containsExactly(
            new DispatchAction.Log(
                LogEvent.JOB_SUBMITTED,
                "job=" + id + " entry=e generation=0 ageMicros=1000 previous=SUCCEEDED"));
  }

  /** Returns the number of refused jobs when three of four workers are unreachable or draining. */
  private int refusedWithOneWorkerOfFour(boolean draining, int failedCalls) {
    listWorkers(
        worker("w", 64_000, false),
        worker("x", 64_000, draining),
        worker("y", 64_000, draining),
        worker("z", 64_000, draining));
    for (String each : List.of("x", "y", "z")) {
      report(each, List.of());
      for (int i = 0; i < failedCalls; i++) {
        step(1, new DispatchEvent.RenewalFailed(each));
      }
    }
    for (int i = 0; i < 40; i++) {
      submit(60, 0);
    }
    step(160, new DispatchEvent.Tick());
    return takeActions(DispatchAction.Finish.class).size();
  }

  private DispatchEvent submission(String id, int tasks, long estimateMillis) {
    StepSpec step =
        new StepSpec(tasks, new Resources(64_000, 1, 0), estimateMillis, List.of(), "", "", 0);
    JobDescription job = new JobDescription(new JobId(id), "p", List.of(step), Set.of());
    return new DispatchEvent.JobSubmitted(
        job, REQUEST_CLASS, "e", now, now + 2_000 * MICROS_PER_MILLI, 0);
  }

  /** Two jobs are submitted in one step, and there is capacity for one task. */
  @Test
  void allocatesCapacityAfterAllEventsOfOneStep() {
    DispatchEvent relaxed = submission("00000000000000aa", 1, 900);
    DispatchEvent urgent = submission("00000000000000bb", 1, 20);
    actions.addAll(dispatcher.step(now, List.of(relaxed, urgent)));
    List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
    assertThat(starts).hasSize(1);
    assertThat(starts.get(0).run().task().job()).isEqualTo(new JobId("00000000000000bb"));
  }

  @Test
  void unreachableWorkersDoNotCountAsCapacity() {
    assertThat(refusedWithOneWorkerOfFour(false, 2)).isAtLeast(34);
  }

  @Test
  void drainingWorkersDoNotCountAsCapacity() {
    assertThat(refusedWithOneWorkerOfFour(true, 0)).isAtLeast(34);
  }

  @Test
  void startsNothingWhileAnotherLeaderMayBeElected() {
    step(0, new DispatchEvent.StartsAllowed(false));
    submit(1, 0);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    step(1, new DispatchEvent.StartsAllowed(true));
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
  }

  @Test
  void resubmittedJobWaitsForUnreachableWorkers() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI);
    listWorkers(worker("w", 64_000, false), worker("unreachable", 64_000, false));
    report("w", List.of());
    submit(1, 1);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    step(1_600, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    step(101, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
  }

  @Test
  void adoptsRunsThatPreviousLeaderOrdered() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI);
    listWorkers(worker("w", 64_000, false));
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", jobCount + 1));
    RunRef run = new RunRef(new TaskRef(id, 0, 0), 3);
    report("w", List.of(new WorkerReport.ActiveRun(run, 40)));
    submit(1, 1);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    assertThat(takeActions(DispatchAction.Stop.class)).isEmpty();
    report("w", List.of(), new WorkerReport.Completion(1, run, RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }

  /**
   * A report holds at most 500 completions; a run whose completion is beyond them is in neither
   * list.
   */
  @Test
  void runIsNotLostWhileTheReportLacksCompletions() {
    submit(1, 0);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", run);
    WorkerReport.Completion[] first = new WorkerReport.Completion[500];
    for (int i = 0; i < first.length; i++) {
      JobId other = new JobId(String.format(Locale.ROOT, "%016x", 0xfff000 + i));
      first[i] =
          new WorkerReport.Completion(
              i + 1, new RunRef(new TaskRef(other, 0, 0), 1), RunOutcome.STOPPED);
    }
    step(50, new DispatchEvent.Tick());
    report("w", List.of(), first);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    report("w", List.of(), new WorkerReport.Completion(501, run, RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }
}
