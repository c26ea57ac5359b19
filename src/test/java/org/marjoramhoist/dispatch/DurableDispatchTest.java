package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerReport.RunEnd;
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

  private void report(WorkerReport.Ended... ends) {
    report("w", List.of(), ends);
  }

  @BeforeEach
  void begin() {
    listWorker();
    report();
    step(0, new DispatchEvent.JobsLoaded(1, List.of(), List.of()));
    actions.clear();
  }

  private static StoredJob record(int tasks) {
    List<StepSpec> steps = List.of(tasks(tasks, List.of()));
    JobDescription job = new JobDescription(ID, "p", steps, Set.of(JobFeature.DURABLE));
    return new StoredJob(job, CLASS, 10_000);
  }

  private void call(CallKind kind) {
    StoredJob record = kind == CallKind.SUBMIT ? record(1) : null;
    step(1, new DispatchEvent.JobCalled(kind, ID, record, "e", ++calls, now));
  }

  private void submit(JobId other) {
    JobDescription job = new JobDescription(other, "p", record(1).job().steps(), Set.of());
    StoredJob record = new StoredJob(job, CLASS, 10_000);
    step(1, new DispatchEvent.JobCalled(CallKind.SUBMIT, other, record, "e", ++calls, now));
  }

  /** Has the batch on its way stored; the next one leaves with a later tick. */
  private JournalBatch store() {
    step(30, new DispatchEvent.Tick());
    JournalBatch batch = taken(DispatchAction.Store.class).get(0).batch();
    step(5, new DispatchEvent.BatchStored(batch.number()));
    return batch;
  }

  private RunRef start() {
    RunRef run = taken(DispatchAction.Start.class).get(0).run();
    started("w", run);
    return run;
  }

  private JobStatus replied() {
    List<DispatchAction.Reply> replies = taken(DispatchAction.Reply.class);
    assertThat(replies).hasSize(1);
    return replies.get(0).status();
  }

  private long acknowledged() {
    return taken(DispatchAction.Renew.class).stream()
        .mapToLong(DispatchAction.Renew::acknowledged)
        .max()
        .orElse(0);
  }

  private long acknowledgedTo(String worker) {
    return taken(DispatchAction.Renew.class).stream()
        .filter(renew -> renew.worker().id().equals(worker))
        .mapToLong(DispatchAction.Renew::acknowledged)
        .max()
        .orElse(0);
  }

  @Test
  void jobIsAcceptedAndStartedOnlyOnceItIsStored() {
    call(CallKind.SUBMIT);
    step(200, new DispatchEvent.Tick());
    assertThat(taken(DispatchAction.Reply.class)).isEmpty();
    assertThat(taken(DispatchAction.Start.class)).isEmpty();
    JournalBatch batch = store();
    assertThat(batch.added()).hasSize(1);
    assertThat(replied()).isEqualTo(JobStatus.PENDING);
    assertThat(taken(DispatchAction.Start.class)).hasSize(1);
  }

  @Test
  void endIsShownAndAcknowledgedOnlyOnceItIsStored() {
    call(CallKind.SUBMIT);
    store();
    RunRef run = start();
    actions.clear();
    report(new WorkerReport.Ended(1, run, RunEnd.DONE));
    call(CallKind.STATUS);
    assertThat(taken(DispatchAction.Reply.class)).isEmpty();
    step(20, new DispatchEvent.Tick());
    assertThat(acknowledged()).isEqualTo(0);
    JournalBatch batch = store();
    assertThat(batch.progress().get(ID).status()).isEqualTo(JobStatus.SUCCEEDED);
    assertThat(replied()).isEqualTo(JobStatus.SUCCEEDED);
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledged()).isEqualTo(1);
  }

  @Test
  void statusOfJobAtWorkIsTold() {
    call(CallKind.SUBMIT);
    store();
    start();
    actions.clear();
    call(CallKind.STATUS);
    step(80, new DispatchEvent.Tick());
    assertThat(replied()).isEqualTo(JobStatus.RUNNING);
  }

  @Test
  void submissionOfEndedJobStartsNothing() {
    call(CallKind.SUBMIT);
    store();
    report(new WorkerReport.Ended(1, start(), RunEnd.DONE));
    store();
    actions.clear();
    call(CallKind.SUBMIT);
    assertThat(replied()).isEqualTo(JobStatus.SUCCEEDED);
    step(100, new DispatchEvent.Tick());
    assertThat(taken(DispatchAction.Start.class)).isEmpty();
  }

  @Test
  void cancelIsConfirmedOnlyOnceItIsStored() {
    call(CallKind.SUBMIT);
    store();
    start();
    actions.clear();
    call(CallKind.CANCEL);
    assertThat(taken(DispatchAction.Stop.class)).hasSize(1);
    assertThat(taken(DispatchAction.Reply.class)).isEmpty();
    store();
    assertThat(replied()).isEqualTo(JobStatus.CANCELLED);
  }

  @Test
  void jobCancelledBeforeItIsStoredEndsInLaterBatch() {
    submit(new JobId("00000000000000bb"));
    final long first = taken(DispatchAction.Store.class).get(0).batch().number();
    call(CallKind.SUBMIT);
    call(CallKind.CANCEL);
    step(20, new DispatchEvent.BatchStored(first));
    actions.removeIf(DispatchAction.Reply.class::isInstance);
    actions.removeIf(DispatchAction.Start.class::isInstance);
    assertThat(store().progress()).isEmpty();
    assertThat(replied()).isEqualTo(JobStatus.PENDING);
    assertThat(taken(DispatchAction.Start.class)).isEmpty();
    assertThat(store().progress().get(ID).status()).isEqualTo(JobStatus.CANCELLED);
    assertThat(replied()).isEqualTo(JobStatus.CANCELLED);
  }

  @Test
  void callsWaitUntilStoredJobsAreKnownAndJobsGoOn() {
    beginTerm(now);
    listWorker();
    TaskRef task = new TaskRef(ID, 0, 0);
    report(new WorkerReport.Ended(1, new RunRef(task, 65), RunEnd.DONE));
    actions.clear();
    call(CallKind.STATUS);
    step(20, new DispatchEvent.Tick());
    assertThat(taken(DispatchAction.Reply.class)).isEmpty();
    DispatchEvent.LoadedJob stored =
        new DispatchEvent.LoadedJob(record(2), Optional.<JobProgress>empty());
    step(1, new DispatchEvent.JobsLoaded(2, List.of(stored), List.of()));
    assertThat(replied()).isEqualTo(JobStatus.PENDING);
    step(20, new DispatchEvent.Tick());
    assertThat(acknowledged()).isEqualTo(0);
    List<RunRef> started =
        taken(DispatchAction.Start.class).stream().map(DispatchAction.Start::run).toList();
    assertThat(started).hasSize(1);
    assertThat(started.get(0).task()).isEqualTo(new TaskRef(ID, 0, 1));
    assertThat(started.get(0).number()).isGreaterThan(65);
  }

  @Test
  void unknownJobIsToldSo() {
    call(CallKind.STATUS);
    assertThat(taken(DispatchAction.Reply.class).get(0).result()).isEqualTo(CallResult.UNKNOWN_JOB);
  }

  @Test
  void jobIsRefusedAtOnceWhileTheStoreTakesNothing() {
    call(CallKind.SUBMIT);
    step(800, new DispatchEvent.Tick());
    actions.clear();
    submit(new JobId("00000000000000bb"));
    DispatchAction.Reply reply = taken(DispatchAction.Reply.class).get(0);
    assertThat(reply.result()).isEqualTo(CallResult.REFUSED);
    assertThat(reply.retryAfterMillis()).isAtLeast(1_000);
  }

  /** Its entry lapsed while the store took no batch: it lists its ends again when it is back. */
  @Test
  void endIsNotAcknowledgedBeforeItIsStoredThoughItsWorkerWasForgotten() {
    call(CallKind.SUBMIT);
    store();
    RunRef run = start();
    for (int i = 0; i < 6; i++) {
      step(400, new DispatchEvent.Tick());
      listWorker();
    }
    report(new WorkerReport.Ended(1, run, RunEnd.DONE));
    step(30, new DispatchEvent.Tick());
    assertThat(taken(DispatchAction.Store.class)).hasSize(1);
    step(400, new DispatchEvent.Tick());
    listWorkers(worker("other", 16_000, false));
    step(400, new DispatchEvent.Tick());
    listWorkers(worker("other", 16_000, false), worker("w", 16_000, false));
    taken(DispatchAction.Renew.class);
    report(new WorkerReport.Ended(1, run, RunEnd.DONE));
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledged()).isEqualTo(0);
  }

  /** Has one of a job's two tasks done; its end is not on its way to the store yet. */
  private RunRef firstDoneOfTwo() {
    step(1, new DispatchEvent.JobCalled(CallKind.SUBMIT, ID, record(2), "e", ++calls, now));
    store();
    List<DispatchAction.Start> starts = taken(DispatchAction.Start.class);
    starts.forEach(start -> started("w", start.run()));
    RunRef first = starts.get(0).run();
    report(new WorkerReport.Ended(1, first, RunEnd.DONE));
    return first;
  }

  /**
   * Has the task that is done run a second time elsewhere, as its first worker was out of reach.
   */
  private void reportSecondEnd(RunRef run) {
    listWorkers(worker("w", 16_000, false), worker("v", 16_000, false));
    taken(DispatchAction.Renew.class);
    RunRef second = new RunRef(run.task(), run.number() + 1);
    report("v", List.of(), new WorkerReport.Ended(1, second, RunEnd.DONE));
  }

  @Test
  void endOfSecondRunIsNotAcknowledgedBeforeTheTaskIsStoredAsDone() {
    RunRef run = firstDoneOfTwo();
    reportSecondEnd(run);
    step(70, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(0);
    step(200, new DispatchEvent.Tick());
    store();
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(1);
  }

  @Test
  void endOfSecondRunIsNotAcknowledgedWhileTheFirstIsOnItsWayToTheStore() {
    final RunRef run = firstDoneOfTwo();
    step(210, new DispatchEvent.Tick());
    final JournalBatch batch = taken(DispatchAction.Store.class).get(0).batch();
    reportSecondEnd(run);
    step(70, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(0);
    step(1, new DispatchEvent.BatchStored(batch.number()));
    step(210, new DispatchEvent.Tick());
    store();
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(1);
  }

  @Test
  void endOfSecondRunIsNotAcknowledgedBeforeTheEndOfTheJobIsStored() {
    call(CallKind.SUBMIT);
    store();
    RunRef run = start();
    report(new WorkerReport.Ended(1, run, RunEnd.DONE));
    reportSecondEnd(run);
    step(70, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(0);
    store();
    step(100, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(1);
  }

  @Test
  void endOfSecondRunIsAcknowledgedIfTheTaskIsStoredAsDone() {
    final RunRef run = firstDoneOfTwo();
    step(210, new DispatchEvent.Tick());
    step(
        1,
        new DispatchEvent.BatchStored(taken(DispatchAction.Store.class).get(0).batch().number()));
    reportSecondEnd(run);
    step(70, new DispatchEvent.Tick());
    assertThat(acknowledgedTo("v")).isEqualTo(1);
    step(300, new DispatchEvent.Tick());
    assertThat(taken(DispatchAction.Store.class)).isEmpty();
  }

  /** Begins a term that finds the job stored with a progress that can't be read. */
  private void loadUnreadable() {
    beginTerm(now);
    listWorker();
    report();
    DispatchEvent.LoadedJob stored =
        new DispatchEvent.LoadedJob(record(2), Optional.<JobProgress>empty(), false);
    step(1, new DispatchEvent.JobsLoaded(2, List.of(stored), List.of()));
  }

  @Test
  void jobWhoseProgressCannotBeReadStartsNothingAndIsToldAsRunning() {
    loadUnreadable();
    step(20, new DispatchEvent.Tick());
    assertThat(taken(DispatchAction.Start.class)).isEmpty();
    call(CallKind.SUBMIT);
    assertThat(replied()).isEqualTo(JobStatus.RUNNING);
    call(CallKind.STATUS);
    assertThat(replied()).isEqualTo(JobStatus.RUNNING);
    step(2_000, new DispatchEvent.Tick());
    assertThat(taken(DispatchAction.Start.class)).isEmpty();
    assertThat(taken(DispatchAction.Store.class)).isEmpty();
  }

  @Test
  void jobWhoseProgressCannotBeReadCanBeCancelled() {
    loadUnreadable();
    call(CallKind.CANCEL);
    assertThat(taken(DispatchAction.Reply.class)).isEmpty();
    assertThat(store().progress().get(ID).status()).isEqualTo(JobStatus.CANCELLED);
    assertThat(replied()).isEqualTo(JobStatus.CANCELLED);
    call(CallKind.STATUS);
    assertThat(replied()).isEqualTo(JobStatus.CANCELLED);
  }
}
