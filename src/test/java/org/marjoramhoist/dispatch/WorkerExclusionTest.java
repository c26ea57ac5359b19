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
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;

/**
 * Workers that a task is kept from: guards against an exclusion without an end, which leaves a task
 * waiting though the only worker that could run it is idle.
 */
class WorkerExclusionTest extends DispatcherFixture {

  private static final String ONLY_LABEL = "only";
  private static final long TICK_MILLIS = 20;
  private static final long DEADLINE_MICROS = 60_000 * MICROS_PER_MILLI;

  /** A class whose jobs may wait long. */
  private static final RequestClass PATIENT =
      new RequestClass("check", "h", "/p/", "reviews", 0, 3, 1_000, 60, false);

  private int jobs;
  private long sequence;

  @BeforeEach
  void listTwoWorkers() {
    listWorkers(labelled("w", "a", ONLY_LABEL), labelled("x", "a"));
    step(0, new DispatchEvent.JobsLoaded(0, List.of(), List.of()));
    report("w", List.of());
    report("x", List.of());
    for (int i = 0; i < 60; i++) {
      step(TICK_MILLIS, new DispatchEvent.Tick());
    }
    actions.clear();
  }

  private static WorkerInfo labelled(String id, String... labels) {
    WorkerInfo info = worker(id, 1_000, false);
    return new WorkerInfo(
        id,
        info.upstream(),
        info.address(),
        info.failureDomain(),
        info.capacity(),
        info.kind(),
        info.rack(),
        Set.of(labels),
        false,
        info.bornMillis());
  }

  private JobId submit(String label) {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++jobs));
    StepSpec task = new StepSpec(1, new Resources(1_000, 1, 0), 50, List.of(), label, "", 0);
    JobDescription job = new JobDescription(id, "p", List.of(task), Set.of());
    step(1, new DispatchEvent.JobSubmitted(job, PATIENT, "e", now, now + DEADLINE_MICROS, 0));
    return id;
  }

  /** Ticks until a run is started and returns its order; null if none is for so long. */
  private DispatchAction.Start awaitStart(long millis) {
    long end = now + millis * MICROS_PER_MILLI;
    while (now < end) {
      List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
      if (!starts.isEmpty()) {
        return starts.get(0);
      }
      step(TICK_MILLIS, new DispatchEvent.Tick());
    }
    return null;
  }

  private RunRef startedOn(String worker, long withinMillis) {
    DispatchAction.Start start = awaitStart(withinMillis);
    assertThat(start).isNotNull();
    assertThat(start.worker().id()).isEqualTo(worker);
    confirmStart(worker, start.run());
    return start.run();
  }

  private void fail(String worker, RunRef run) {
    report(worker, List.of(), new Completion(++sequence, run, RunOutcome.FAILED));
  }

  @Test
  void taskThatFailedOnTheOnlyWorkerRunsThereAgainAfterPause() {
    submit(ONLY_LABEL);
    fail("w", startedOn("w", 100));
    assertThat(awaitStart(400)).isNull();
    fail("w", startedOn("w", 300));
    assertThat(awaitStart(400)).isNull();
    report("w", List.of(), new Completion(++sequence, startedOn("w", 300), RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }

  @Test
  void attemptsLimitTheRunsOnTheOnlyWorker() {
    submit(ONLY_LABEL);
    for (int i = 0; i < PATIENT.attempts(); i++) {
      fail("w", startedOn("w", 1_000));
    }
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.FAILED);
    assertThat(awaitStart(3_000)).isNull();
  }

  @Test
  void taskThatStalledOnTheOnlyWorkerRunsThereAgain() {
    submit(ONLY_LABEL);
    RunRef run = startedOn("w", 100);
    while (takeActions(DispatchAction.Stop.class).isEmpty()) {
      report("w", List.of(new ActiveRun(run, 10)));
      step(TICK_MILLIS, new DispatchEvent.Tick());
    }
    step(1, new DispatchEvent.StopEnded("w", run, true));
    report("w", List.of(), new Completion(++sequence, run, RunOutcome.STOPPED));
    startedOn("w", 1_000);
  }

  /** The preference lasts while the other worker is only busy, but not for ever. */
  @Test
  void taskAvoidsWorkerThatFailedItWhileAnotherIsBusy() {
    submit("");
    RunRef first = awaitStart(100).run();
    submit("");
    RunRef second = awaitStart(100).run();
    confirmStart("w", first);
    confirmStart("x", second);
    boolean firstIsOnW = dispatcher.possiblyRunningJobs().contains(first.task().job());
    assertThat(firstIsOnW).isTrue();
    fail("w", first);
    for (int i = 0; i < 18; i++) {
      report("x", List.of(new ActiveRun(second, i + 1)));
      assertThat(awaitStart(100)).isNull();
    }
    startedOn("w", 400);
  }

  /** Ends runs on the worker as failed until no work is assigned to it for several seconds. */
  private void eject(String worker) {
    for (int i = 0; i < 6; i++) {
      JobId job = submit(ONLY_LABEL);
      fail(worker, startedOn(worker, 20_000));
      step(0, new DispatchEvent.JobWithdrawn(job, "e"));
      actions.clear();
    }
  }

  @Test
  void ejectedWorkerIsTriedForTaskThatNoOtherCanRun() {
    eject("w");
    submit(ONLY_LABEL);
    startedOn("w", 1_200);
  }

  @Test
  void ejectedWorkerIsNotTriedForTaskThatAnotherCanRun() {
    eject("w");
    submit("");
    RunRef run = startedOn("x", 100);
    submit("");
    for (int i = 0; i < 15; i++) {
      report("x", List.of(new ActiveRun(run, i + 1)));
      assertThat(awaitStart(100)).isNull();
    }
  }
}
