package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
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
import org.marjoramhoist.log.LogEvent;

/** What callers and workers learn of durable jobs before and after changes are stored. */
class DurableDispatchTest extends DispatcherFixture {

  private static final JobId ID = new JobId("00000000000000aa");

  private long callCount;

  private void listWorker() {
    listWorkers(worker("w", 16_000, false));
  }

  private void report(WorkerReport.Completion... completions) {
    report("w", List.of(), completions);
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
    step(1, new DispatchEvent.JobCallReceived(kind, ID, record, "e", ++callCount, now));
  }

  private void submit(JobId other) {
    JobDescription job = new JobDescription(other, "p", record(1).job().steps(), Set.of());
    StoredJob record = new StoredJob(job, REQUEST_CLASS, 10_000);
    step(
        1,
        new DispatchEvent.JobCallReceived(
            JobCallKind.SUBMIT, other, record, "e", ++callCount, now));
  }

  /** Confirms the pending batch; the next one is sent with a later tick. */
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

  private JobStatus takeReplyStatus() {
    List<DispatchAction.Reply> replies = takeActions(DispatchAction.Reply.class);
    assertThat(replies).hasSize(1);
    return replies.get(0).status();
  }

  private long takeAcknowledged() {
    return takeActions(DispatchAction.Renew.class).stream()
        .mapToLong(DispatchAction.Renew::acknowledged)
        .max()
        .orElse(0);
  }

  private long takeAcknowledgedTo(String worker) {
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
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.PENDING);
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
  }

  @Test
  void endIsReportedAndAcknowledgedOnlyOnceItIsStored() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    RunRef run = confirmFirstStart();
    actions.clear();
    report(new WorkerReport.Completion(1, run, RunOutcome.DONE));
    call(JobCallKind.STATUS);
    assertThat(takeActions(DispatchAction.Reply.class)).isEmpty();
    step(20, new DispatchEvent.Tick());
    assertThat(takeAcknowledged()).isEqualTo(0);
    JournalBatch batch = storeBatch();
    assertThat(batch.progress().get(ID).status()).isEqualTo(JobStatus.SUCCEEDED);
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.SUCCEEDED);
    step(100, new DispatchEvent.Tick());
    assertThat(takeAcknowledged()).isEqualTo(1);
  }

  @Test
  void statusOfRunningJobIsReported() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    confirmFirstStart();
    actions.clear();
    call(JobCallKind.STATUS);
    step(80, new DispatchEvent.Tick());
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.RUNNING);
  }

  @Test
  void submissionOfEndedJobStartsNothing() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    report(new WorkerReport.Completion(1, confirmFirstStart(), RunOutcome.DONE));
    storeBatch();
    actions.clear();
    call(JobCallKind.SUBMIT);
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.SUCCEEDED);
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
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.CANCELLED);
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
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.PENDING);
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    assertThat(storeBatch().progress().get(ID).status()).isEqualTo(JobStatus.CANCELLED);
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.CANCELLED);
  }

  @Test
  void callsWaitUntilStoredJobsAreLoadedAndJobsContinue() {
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
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.PENDING);
    step(20, new DispatchEvent.Tick());
    assertThat(takeAcknowledged()).isEqualTo(0);
    List<RunRef> started =
        takeActions(DispatchAction.Start.class).stream().map(DispatchAction.Start::run).toList();
    assertThat(started).hasSize(1);
    assertThat(started.get(0).task()).isEqualTo(new TaskRef(ID, 0, 1));
    assertThat(started.get(0).number()).isGreaterThan(65);
  }

  @Test
  void unknownJobIsReportedAsUnknown() {
    call(JobCallKind.STATUS);
    assertThat(takeActions(DispatchAction.Reply.class).get(0).result())
        .isEqualTo(JobCallResult.UNKNOWN_JOB);
  }

  @Test
  void jobIsRefusedAtOnceWhileTheStoreIsStalled() {
    call(JobCallKind.SUBMIT);
    step(800, new DispatchEvent.Tick());
    actions.clear();
    submit(new JobId("00000000000000bb"));
    DispatchAction.Reply reply = takeActions(DispatchAction.Reply.class).get(0);
    assertThat(reply.result()).isEqualTo(JobCallResult.REFUSED);
    assertThat(reply.retryAfterMillis()).isAtLeast(1_000);
  }

  /**
   * The worker's entry expired while no batch was stored; once relisted, it reports its completions
   * again.
   */
  @Test
  void completionOfRemovedWorkerIsNotAcknowledgedBeforeItIsStored() {
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
    assertThat(takeAcknowledged()).isEqualTo(0);
  }

  /** Submits a job of two tasks and completes one; its progress is not being stored yet. */
  private RunRef completeFirstOfTwoTasks() {
    step(
        1,
        new DispatchEvent.JobCallReceived(
            JobCallKind.SUBMIT, ID, record(2), "e", ++callCount, now));
    storeBatch();
    List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
    starts.forEach(start -> confirmStart("w", start.run()));
    RunRef first = starts.get(0).run();
    report(new WorkerReport.Completion(1, first, RunOutcome.DONE));
    return first;
  }

  /**
   * Reports a second completion of the task from another worker, as after its first worker was
   * unreachable.
   */
  private void reportSecondCompletion(RunRef run) {
    listWorkers(worker("w", 16_000, false), worker("v", 16_000, false));
    takeActions(DispatchAction.Renew.class);
    RunRef second = new RunRef(run.task(), run.number() + 1);
    report("v", List.of(), new WorkerReport.Completion(1, second, RunOutcome.DONE));
  }

  @Test
  void secondCompletionIsNotAcknowledgedBeforeTheTaskIsStoredAsDone() {
    RunRef run = completeFirstOfTwoTasks();
    reportSecondCompletion(run);
    step(70, new DispatchEvent.Tick());
    assertThat(takeAcknowledgedTo("v")).isEqualTo(0);
    step(200, new DispatchEvent.Tick());
    storeBatch();
    step(100, new DispatchEvent.Tick());
    assertThat(takeAcknowledgedTo("v")).isEqualTo(1);
  }

  @Test
  void secondCompletionIsNotAcknowledgedWhileTheFirstIsBeingStored() {
    final RunRef run = completeFirstOfTwoTasks();
    step(210, new DispatchEvent.Tick());
    final JournalBatch batch = takeActions(DispatchAction.Store.class).get(0).batch();
    reportSecondCompletion(run);
    step(70, new DispatchEvent.Tick());
    assertThat(takeAcknowledgedTo("v")).isEqualTo(0);
    step(1, new DispatchEvent.BatchStored(batch.number()));
    step(210, new DispatchEvent.Tick());
    storeBatch();
    step(100, new DispatchEvent.Tick());
    assertThat(takeAcknowledgedTo("v")).isEqualTo(1);
  }

  @Test
  void secondCompletionIsNotAcknowledgedBeforeTheEndOfTheJobIsStored() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    RunRef run = confirmFirstStart();
    report(new WorkerReport.Completion(1, run, RunOutcome.DONE));
    reportSecondCompletion(run);
    step(70, new DispatchEvent.Tick());
    assertThat(takeAcknowledgedTo("v")).isEqualTo(0);
    storeBatch();
    step(100, new DispatchEvent.Tick());
    assertThat(takeAcknowledgedTo("v")).isEqualTo(1);
  }

  @Test
  void secondCompletionIsAcknowledgedIfTheTaskIsStoredAsDone() {
    final RunRef run = completeFirstOfTwoTasks();
    step(210, new DispatchEvent.Tick());
    step(
        1,
        new DispatchEvent.BatchStored(
            takeActions(DispatchAction.Store.class).get(0).batch().number()));
    reportSecondCompletion(run);
    step(70, new DispatchEvent.Tick());
    assertThat(takeAcknowledgedTo("v")).isEqualTo(1);
    step(300, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Store.class)).isEmpty();
  }

  /** Starts a term with a stored job whose progress cannot be read. */
  private void loadJobWithUnreadableProgress() {
    beginTerm(now);
    listWorker();
    report();
    DispatchEvent.LoadedJob stored =
        new DispatchEvent.LoadedJob(record(2), Optional.<JobProgress>empty(), false);
    step(1, new DispatchEvent.JobsLoaded(2, List.of(stored), List.of()));
  }

  @Test
  void jobWithUnreadableProgressStartsNothingAndIsReportedAsRunning() {
    loadJobWithUnreadableProgress();
    step(20, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    call(JobCallKind.SUBMIT);
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.RUNNING);
    call(JobCallKind.STATUS);
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.RUNNING);
    step(2_000, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
    assertThat(takeActions(DispatchAction.Store.class)).isEmpty();
  }

  @Test
  void jobWithUnreadableProgressCanBeCancelled() {
    loadJobWithUnreadableProgress();
    call(JobCallKind.CANCEL);
    assertThat(takeActions(DispatchAction.Reply.class)).isEmpty();
    assertThat(storeBatch().progress().get(ID).status()).isEqualTo(JobStatus.CANCELLED);
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.CANCELLED);
    call(JobCallKind.STATUS);
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.CANCELLED);
  }

  /** A new leader told that none waits. */
  @Test
  void waitingJobsAreNotCountedBeforeStoredJobsAreLoaded() {
    beginTerm(now);
    assertThat(dispatcher.waitingJobsByClass()).isEqualTo(Optional.empty());
    step(1, new DispatchEvent.JobsLoaded(1, List.of(), List.of()));
    assertThat(dispatcher.waitingJobsByClass()).isEqualTo(Optional.of(Map.of()));
  }

  private static final JobId OTHER = new JobId("00000000000000bb");

  private JournalBatch nextBatch() {
    step(30, new DispatchEvent.Tick());
    return takeActions(DispatchAction.Store.class).get(0).batch();
  }

  private JournalBatch refuseBatch() {
    JournalBatch batch = nextBatch();
    step(5, new DispatchEvent.BatchRefused(batch.number(), "status 400"));
    return batch;
  }

  /** Confirms the batch without a job that shows that the store takes batches. */
  private void storeProbe() {
    JournalBatch probe = storeBatch();
    assertThat(probe.added()).isEmpty();
    assertThat(probe.progress()).isEmpty();
    assertThat(probe.deleted()).isEmpty();
  }

  /** One job's progress that the store refused kept every other durable job from being stored. */
  @Test
  void refusedProgressEndsItsOwnJobOnly() {
    completeFirstOfTwoTasks();
    submit(OTHER);
    actions.removeIf(DispatchAction.Reply.class::isInstance);
    JournalBatch both = takeActions(DispatchAction.Store.class).get(0).batch();
    assertThat(both.progress()).containsKey(ID);
    step(5, new DispatchEvent.BatchRefused(both.number(), "status 400"));
    JournalBatch first = nextBatch();
    assertThat(first.added()).hasSize(1);
    assertThat(first.progress()).isEmpty();
    step(5, new DispatchEvent.BatchStored(first.number()));
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.PENDING);
    assertThat(takeActions(DispatchAction.Stop.class)).isEmpty();
    assertThat(refuseBatch().progress().keySet()).containsExactly(ID);
    assertThat(takeActions(DispatchAction.Stop.class)).isEmpty();
    storeProbe();
    assertThat(takeActions(DispatchAction.Stop.class)).hasSize(1);
    assertThat(notStored()).containsExactly("job=" + ID + " part=progress reason=status 400");
    JournalBatch end = storeBatch();
    assertThat(end.progress().get(ID).status()).isEqualTo(JobStatus.FAILED);
    call(JobCallKind.STATUS);
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.FAILED);
  }

  private List<String> notStored() {
    return takeActions(DispatchAction.Log.class).stream()
        .filter(log -> log.event() == LogEvent.JOB_NOT_STORED)
        .map(DispatchAction.Log::detail)
        .toList();
  }

  /** Its completion must not be acknowledged: nothing of it is stored. */
  @Test
  void completionInRefusedBatchIsAcknowledgedOnlyOnceTheEndIsStored() {
    final RunRef run = completeFirstOfTwoTasks();
    step(210, new DispatchEvent.Tick());
    JournalBatch progress = takeActions(DispatchAction.Store.class).get(0).batch();
    takeActions(DispatchAction.Renew.class);
    step(5, new DispatchEvent.BatchRefused(progress.number(), "status 400"));
    storeProbe();
    final JournalBatch end = nextBatch();
    step(100, new DispatchEvent.Tick());
    report(new WorkerReport.Completion(1, run, RunOutcome.DONE));
    step(100, new DispatchEvent.Tick());
    assertThat(takeAcknowledged()).isEqualTo(0);
    step(1, new DispatchEvent.BatchStored(end.number()));
    report(new WorkerReport.Completion(1, run, RunOutcome.DONE));
    step(100, new DispatchEvent.Tick());
    assertThat(takeAcknowledged()).isEqualTo(1);
  }

  @Test
  void jobWhoseRecordIsRefusedIsRefusedAndCanBeSubmittedAgain() {
    call(JobCallKind.SUBMIT);
    final JournalBatch batch = takeActions(DispatchAction.Store.class).get(0).batch();
    call(JobCallKind.CANCEL);
    step(5, new DispatchEvent.BatchRefused(batch.number(), "status 413"));
    storeProbe();
    List<DispatchAction.Reply> replies = takeActions(DispatchAction.Reply.class);
    assertThat(replies.stream().map(DispatchAction.Reply::result))
        .containsExactly(JobCallResult.REFUSED, JobCallResult.UNKNOWN_JOB);
    step(2_000, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Store.class)).isEmpty();
    call(JobCallKind.SUBMIT);
    storeBatch();
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.PENDING);
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
  }

  @Test
  void refusedEndIsTriedAgainAndHoldsUpNoOtherJob() {
    call(JobCallKind.SUBMIT);
    storeBatch();
    actions.clear();
    call(JobCallKind.CANCEL);
    assertThat(refuseBatch().progress().get(ID).status()).isEqualTo(JobStatus.CANCELLED);
    storeProbe();
    submit(OTHER);
    JournalBatch other = storeBatch();
    assertThat(other.added()).hasSize(1);
    assertThat(other.progress()).isEmpty();
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.PENDING);
    step(1_000, new DispatchEvent.Tick());
    JournalBatch again = takeActions(DispatchAction.Store.class).get(0).batch();
    assertThat(again.progress().get(ID).status()).isEqualTo(JobStatus.CANCELLED);
    step(5, new DispatchEvent.BatchStored(again.number()));
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.CANCELLED);
  }

  /** Else a store that refuses everything for a while would end every job that runs. */
  @Test
  void jobIsNotBlamedByStoreThatRefusesAll() {
    completeFirstOfTwoTasks();
    step(210, new DispatchEvent.Tick());
    JournalBatch progress = takeActions(DispatchAction.Store.class).get(0).batch();
    for (int i = 0; i < 3; i++) {
      actions.clear();
      step(5, new DispatchEvent.BatchRefused(progress.number(), "status 400"));
      refuseBatch();
      assertThat(notStored()).isEmpty();
      submit(new JobId("00000000000000c" + i));
      assertThat(takeActions(DispatchAction.Reply.class).get(0).result())
          .isEqualTo(JobCallResult.REFUSED);
      step(500, new DispatchEvent.Tick());
      assertThat(takeActions(DispatchAction.Store.class)).isEmpty();
      step(500, new DispatchEvent.Tick());
      progress = takeActions(DispatchAction.Store.class).get(0).batch();
      assertThat(progress.progress().get(ID).status()).isEqualTo(JobStatus.RUNNING);
    }
    step(5, new DispatchEvent.BatchStored(progress.number()));
    actions.clear();
    submit(OTHER);
    storeBatch();
    assertThat(takeReplyStatus()).isEqualTo(JobStatus.PENDING);
  }
}
