package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.log.LogEvent;

/** What the log tells of workers that are lost with their runs. */
class WorkerLossTest extends DispatcherFixture {

  private static final JobId JOB = new JobId("00000000000000aa");

  @BeforeEach
  void startRun() {
    listWorkers(worker("w", 64_000, false));
    report("w", List.of());
    JobDescription job = new JobDescription(JOB, "p", List.of(tasks(1, List.of())), Set.of());
    long deadline = now + 60_000 * MICROS_PER_MILLI;
    step(1, new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "e", now, deadline, 0));
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", run);
    actions.clear();
  }

  private void failRenewals(CallFailure first, CallFailure second) {
    step(1, new DispatchEvent.RenewalFailed("w", first));
    step(1, new DispatchEvent.RenewalFailed("w", second));
  }

  private String logged(LogEvent event) {
    return actions.stream()
        .filter(DispatchAction.Log.class::isInstance)
        .map(DispatchAction.Log.class::cast)
        .filter(log -> log.event() == event)
        .map(DispatchAction.Log::detail)
        .findFirst()
        .orElse("");
  }

  private void passLease() {
    for (int i = 0; i < 80; i++) {
      step(20, new DispatchEvent.Tick());
    }
  }

  @Test
  void tellsHowCallsToLostWorkerFailedAndWhatRanOnIt() {
    failRenewals(CallFailure.BROKEN, CallFailure.REFUSED);
    assertThat(logged(LogEvent.WORKER_UNREACHABLE))
        .isEqualTo("worker=w failure=REFUSED draining=false runs=[" + JOB + "/0/0]");
    passLease();
    assertThat(logged(LogEvent.RUN_LOST)).contains("why=lease expired failure=REFUSED");
    assertThat(logged(LogEvent.RUN_LOST)).contains("replaced=false");
    assertThat(logged(LogEvent.RUN_LOST)).endsWith("workersLost=1");
  }

  @Test
  void tellsEvidenceOfLossAndWhatWasHeardOfWorkersNearby() {
    listWorkers(worker("w", 64_000, false), worker("x", 64_000, false));
    failRenewals(CallFailure.BROKEN, CallFailure.REFUSED);
    assertThat(logged(LogEvent.TASK_SUSPECTED)).contains("worker=w run=1 evidence=REFUSED");
    assertThat(logged(LogEvent.TASK_SUSPECTED)).contains("domain=d known=2 lost=1 heard=0");
    report("x", List.of());
    passLease();
    step(1, new DispatchEvent.RenewalFailed("w", CallFailure.REFUSED));
    RunRef second = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("x", second);
    actions.clear();
    step(1, new DispatchEvent.RenewalFailed("x", CallFailure.BROKEN));
    step(1, new DispatchEvent.RenewalFailed("x", CallFailure.REFUSED));
    assertThat(logged(LogEvent.TASK_SUSPECTED)).contains("worker=x run=2 evidence=REFUSED");
  }

  @Test
  void tellsThatAnotherProcessAnswersAtItsAddress() {
    failRenewals(CallFailure.BROKEN, CallFailure.REFUSED);
    step(1, new DispatchEvent.RenewalAnswered("w", now, Optional.empty()));
    assertThat(logged(LogEvent.WORKER_REPLACED)).startsWith("by=reply worker=w");
    passLease();
    assertThat(logged(LogEvent.RUN_LOST)).contains("replaced=true");
  }

  /** Its runs were held for as long as its new clock was behind the old one. */
  @Test
  void runsOfRestartedWorkerAreLostSoonAfterItIsLostToo() {
    long clock = 5;
    step(5, new DispatchEvent.Tick());
    WorkerReport report = new WorkerReport(clock, 6, List.of(), List.of(), true);
    step(1, new DispatchEvent.RenewalAnswered("w", now, Optional.of(report)));
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    step(1, new DispatchEvent.StartAnswered("w", run, now, started(clock + 1)));
    actions.clear();
    failRenewals(CallFailure.SILENT, CallFailure.SILENT);
    passLease();
    assertThat(logged(LogEvent.RUN_LOST)).contains("why=lease expired");
  }

  /** Its run was held until its new clock reached what the order counted on the old one. */
  @Test
  void runThatRestartedWorkerStartedIsLostSoonAfterItIsLostToo() {
    JobId other = new JobId("00000000000000ab");
    JobDescription job = new JobDescription(other, "p", List.of(tasks(1, List.of())), Set.of());
    step(1, new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "e", now, Long.MAX_VALUE, 0));
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    step(1, new DispatchEvent.StartAnswered("w", run, now, started(5)));
    actions.clear();
    failRenewals(CallFailure.BROKEN, CallFailure.REFUSED);
    passLease();
    assertThat(logged(LogEvent.RUN_LOST)).contains("why=lease expired");
  }

  private static StartReply started(long clock) {
    return new StartReply(StartReply.Verdict.STARTED, clock);
  }

  @Test
  void tellsThatRestartedWorkerHasLostItsRuns() {
    step(5, new DispatchEvent.Tick());
    WorkerReport report = new WorkerReport(now / MICROS_PER_MILLI, 6, List.of(), List.of(), true);
    step(1, new DispatchEvent.RenewalAnswered("w", now, Optional.of(report)));
    assertThat(logged(LogEvent.WORKER_REPLACED)).startsWith("by=report worker=w");
    assertThat(logged(LogEvent.RUN_LOST)).contains("why=not there");
    assertThat(logged(LogEvent.RUN_LOST)).endsWith("workersLost=1");
  }
}
