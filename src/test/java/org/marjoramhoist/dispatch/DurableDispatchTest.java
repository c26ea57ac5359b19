package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.TaskRef;

/** What is told of durable jobs, and to whom, before and after it is stored. */
class DurableDispatchTest extends DispatcherFixture {

  private static final JobId ID = new JobId("00000000000000aa");

  private long calls;

  private void listWorker() {
    listWorkers(worker("w", 16_000, false));
  }

  private void report(WorkerReport.Completion... ends) {
    report("w", List.of(), ends);
  }

  @BeforeEach
  void loadJobs() {
    listWorker();
    report();
    step(0, new DispatchEvent.JobsLoaded(1, List.of(), List.of()));
    actions.clear();
  }

  private static StoredJob record(int tasks) {
    List<StepSpec> steps = List.of(tasks(tasks, List.of()));
    JobDescription job = new JobDescription(ID, "p", steps, Set.of(JobFeature.DURABLE));
    return new StoredJob(job, REQUEST_CLASS, 10_000);
  }

  private void call(JobCallKind kind) {
    StoredJob record = kind == JobCallKind.SUBMIT ? record(1) : null;
    step(1, new DispatchEvent.JobCallReceived(kind, ID, record, "e", ++calls, now));
  }

  private void submit(JobId other) {
    JobDescription job = new JobDescription(other, "p", record(1).job().steps(), Set.of());
    StoredJob record = new StoredJob(job, REQUEST_CLASS, 10_000);
    step(
        1, new DispatchEvent.JobCallReceived(JobCallKind.SUBMIT, other, record, "e", ++calls, now));
  }

  /** Has the batch on its way stored; the next one leaves with a later tick. */
  private JournalBatch storeBatch() {
    step(30, new DispatchEvent.Tick());
    JournalBatch batch = takeActions(DispatchAction.Store.class).get(0).batch();
    step(5, new DispatchEvent.BatchStored(batch.number()));
    return batch;
  }

  private RunRef confirmFirstStart() {
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", run);
    return run;
  }

  private JobStatus repliedStatus() {
    List<DispatchAction.Reply> replies = takeActions(DispatchAction.Reply.class);
    assertThat(replies).hasSize(1);
    return replies.get(0).status();
  }

  private long acknowledged() {
    return takeActions(DispatchAction.Renew.class).stream()
        .mapToLong(DispatchAction.Renew::acknowledged)
        .max()
        .orElse(0);
  }

  private long acknowledgedTo(String worker) {
    return takeActions(DispatchAction.Renew.class).stream()
        .filter(renew -> renew.worker().id().equals(worker))
        .mapToLong(DispatchAction.Renew::acknowledged)
        .max()
        .orElse(0);
  }

  @Test
  void jobIsAcceptedAndStartedOnlyOnceItIsStored() {
    call(JobCallKind.SUBMIT);
    step(200, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Reply.class)).isEmpty();
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    JournalBatch batch = storeBatch();
    assertThat(batch.added()).hasSize(1);
    assertThat(repliedStatus()).isEqualTo(JobStatus.PENDING);
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
  }

  @Test
  void endIsShownAndAcknowledgedOnlyOnceItIsStored() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    RunRef run = confirmFirstStart();
    actions.clear();
    report(new WorkerReport.Completion(1, run, RunOutcome.DONE));
    call(JobCallKind.STATUS);
    assertThat(takeActions(DispatchAction.Reply.class)).isEmpty();
    step(20, new DispatchEvent.Tick());
    assertThat(acknowledged()).isEqualTo(0);
    JournalBatch batch = storeBatch();
    assertThat(batch.progress().get(ID).status()).isEqualTo(JobStatus.SUCCEEDED);
    assertThat(repliedStatus()).isEqualTo(JobStatus.SUCCEEDED);
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledged()).isEqualTo(1);
  }

  @Test
  void statusOfJobAtWorkIsTold() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    confirmFirstStart();
    actions.clear();
    call(JobCallKind.STATUS);
    step(80, new DispatchEvent.Tick());
    assertThat(repliedStatus()).isEqualTo(JobStatus.RUNNING);
  }

  @Test
  void submissionOfEndedJobStartsNothing() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    report(new WorkerReport.Completion(1, confirmFirstStart(), RunOutcome.DONE));
    storeBatch();
    actions.clear();
    call(JobCallKind.SUBMIT);
    assertThat(repliedStatus()).isEqualTo(JobStatus.SUCCEEDED);
    step(100, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
  }

  @Test
  void cancelIsConfirmedOnlyOnceItIsStored() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    confirmFirstStart();
    actions.clear();
    call(JobCallKind.CANCEL);
    assertThat(takeActions(DispatchAction.Stop.class)).hasSize(1);
    assertThat(takeActions(DispatchAction.Reply.class)).isEmpty();
    storeBatch();
    assertThat(repliedStatus()).isEqualTo(JobStatus.CANCELLED);
  }

  @Test
  void jobCancelledBeforeItIsStoredEndsInLaterBatch() {
    submit(new JobId("00000000000000bb"));
    final long first = takeActions(DispatchAction.Store.class).get(0).batch().number();
    call(JobCallKind.SUBMIT);
    call(JobCallKind.CANCEL);
    step(20, new DispatchEvent.BatchStored(first));
    actions.removeIf(DispatchAction.Reply.class::isInstance);
    actions.removeIf(DispatchAction.Start.class::isInstance);
    assertThat(storeBatch().progress()).isEmpty();
    assertThat(repliedStatus()).isEqualTo(JobStatus.PENDING);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    assertThat(storeBatch().progress().get(ID).status()).isEqualTo(JobStatus.CANCELLED);
    assertThat(repliedStatus()).isEqualTo(JobStatus.CANCELLED);
  }

  @Test
  void callsWaitUntilStoredJobsAreKnownAndJobsGoOn() {
    beginTerm(now);
    listWorker();
    TaskRef task = new TaskRef(ID, 0, 0);
    report(new WorkerReport.Completion(1, new RunRef(task, 65), RunOutcome.DONE));
    actions.clear();
    call(JobCallKind.STATUS);
    step(20, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Reply.class)).isEmpty();
    DispatchEvent.LoadedJob stored =
        new DispatchEvent.LoadedJob(record(2), Optional.<JobProgress>empty());
    step(1, new DispatchEvent.JobsLoaded(2, List.of(stored), List.of()));
    assertThat(repliedStatus()).isEqualTo(JobStatus.PENDING);
    step(20, new DispatchEvent.Tick());
    assertThat(acknowledged()).isEqualTo(0);
    List<RunRef> started =
        takeActions(DispatchAction.Start.class).stream().map(DispatchAction.Start::run).toList();
    assertThat(started).hasSize(1);
    assertThat(started.get(0).task()).isEqualTo(new TaskRef(ID, 0, 1));
    assertThat(started.get(0).number()).isGreaterThan(65);
  }

  @Test
  void unknownJobIsToldSo() {
    call(JobCallKind.STATUS);
    assertThat(takeActions(DispatchAction.Reply.class).get(0).result())
        .isEqualTo(JobCallResult.UNKNOWN_JOB);
  }

  @Test
  void jobIsRefusedAtOnceWhileTheStoreTakesNothing() {
    call(JobCallKind.SUBMIT);
    step(800, new DispatchEvent.Tick());
    actions.clear();
    submit(new JobId("00000000000000bb"));
    DispatchAction.Reply reply = takeActions(DispatchAction.Reply.class).get(0);
    assertThat(reply.result()).isEqualTo(JobCallResult.REFUSED);
    assertThat(reply.retryAfterMillis()).isAtLeast(1_000);
  }

  /** Its entry lapsed while the store took no batch: it lists its ends again when it is back. */
  @Test
  void endIsNotAcknowledgedBeforeItIsStoredThoughItsWorkerWasForgotten() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    RunRef run = confirmFirstStart();
    for (int i = 0; i < 6; i++) {
      step(400, new DispatchEvent.Tick());
      listWorker();
    }
    report(new WorkerReport.Completion(1, run, RunOutcome.DONE));
    step(30, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Store.class)).hasSize(1);
    step(400, new DispatchEvent.Tick());
    listWorkers(worker("other", 16_000, false));
    step(400, new DispatchEvent.Tick());
    listWorkers(worker("other", 16_000, false), worker("w", 16_000, false));
    takeActions(DispatchAction.Renew.class);
    report(new WorkerReport.Completion(1, run, RunOutcome.DONE));
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledged()).isEqualTo(0);
  }

  /** Has one of a job's two tasks done; its end is not on its way to the store yet. */
  private RunRef firstDoneOfTwo() {
    step(
        1, new DispatchEvent.JobCallReceived(JobCallKind.SUBMIT, ID, record(2), "e", ++calls, now));
    storeBatch();
    List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
    starts.forEach(start -> confirmStart("w", start.run()));
    RunRef first = starts.get(0).run();
    report(new WorkerReport.Completion(1, first, RunOutcome.DONE));
    return first;
  }

  /**
   * Has the task that is done run a second time elsewhere, as its first worker was out of reach.
   */
  private void reportSecondEnd(RunRef run) {
    listWorkers(worker("w", 16_000, false), worker("v", 16_000, false));
    takeActions(DispatchAction.Renew.class);
    RunRef second = new RunRef(run.task(), run.number() + 1);
    report("v", List.of(), new WorkerReport.Completion(1, second, RunOutcome.DONE));
  }

  @Test
  void endOfSecondRunIsNotAcknowledgedBeforeTheTaskIsStoredAsDone() {
    RunRef run = firstDoneOfTwo();
    reportSecondEnd(run);
    step(70, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(0);
    step(200, new DispatchEvent.Tick());
    storeBatch();
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(1);
  }

  @Test
  void endOfSecondRunIsNotAcknowledgedWhileTheFirstIsOnItsWayToTheStore() {
    final RunRef run = firstDoneOfTwo();
    step(210, new DispatchEvent.Tick());
    final JournalBatch batch = takeActions(DispatchAction.Store.class).get(0).batch();
    reportSecondEnd(run);
    step(70, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(0);
    step(1, new DispatchEvent.BatchStored(batch.number()));
    step(210, new DispatchEvent.Tick());
    storeBatch();
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(1);
  }

  @Test
  void endOfSecondRunIsNotAcknowledgedBeforeTheEndOfTheJobIsStored() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    RunRef run = confirmFirstStart();
    report(new WorkerReport.Completion(1, run, RunOutcome.DONE));
    reportSecondEnd(run);
    step(70, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(0);
    storeBatch();
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(1);
  }

  @Test
  void endOfSecondRunIsAcknowledgedIfTheTaskIsStoredAsDone() {
    final RunRef run = firstDoneOfTwo();
    step(210, new DispatchEvent.Tick());
    step(
        1,
        new DispatchEvent.BatchStored(
            takeActions(DispatchAction.Store.class).get(0).batch().number()));
    reportSecondEnd(run);
    step(70, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(1);
    step(300, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Store.class)).isEmpty();
  }

  /** Begins a term that finds the job stored with a progress that can't be read. */
  private void loadJobWithUnreadableProgress() {
    beginTerm(now);
    listWorker();
    report();
    DispatchEvent.LoadedJob stored =
        new DispatchEvent.LoadedJob(record(2), Optional.<JobProgress>empty(), false);
    step(1, new DispatchEvent.JobsLoaded(2, List.of(stored), List.of()));
  }

  @Test
  void jobWhoseProgressCannotBeReadStartsNothingAndIsToldAsRunning() {
    loadJobWithUnreadableProgress();
    step(20, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    call(JobCallKind.SUBMIT);
    assertThat(repliedStatus()).isEqualTo(JobStatus.RUNNING);
    call(JobCallKind.STATUS);
    assertThat(repliedStatus()).isEqualTo(JobStatus.RUNNING);
    step(2_000, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    assertThat(takeActions(DispatchAction.Store.class)).isEmpty();
  }

  @Test
  void jobWhoseProgressCannotBeReadCanBeCancelled() {
    loadJobWithUnreadableProgress();
    call(JobCallKind.CANCEL);
    assertThat(takeActions(DispatchAction.Reply.class)).isEmpty();
    assertThat(storeBatch().progress().get(ID).status()).isEqualTo(JobStatus.CANCELLED);
    assertThat(repliedStatus()).isEqualTo(JobStatus.CANCELLED);
    call(JobCallKind.STATUS);
    assertThat(repliedStatus()).isEqualTo(JobStatus.CANCELLED);
  }
}
