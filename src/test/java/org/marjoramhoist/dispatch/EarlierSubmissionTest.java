package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.SubmissionNumber;

/**
 * Submissions that a leader receives after it has refused their job, and that were sent before.
 * Guards against a task that is started although its job was refused.
 */
class EarlierSubmissionTest extends DispatcherFixture {

  private static final JobId ID = new JobId("00000000000000aa");
  private static final long SECOND_MICROS = 1_000_000;

  private long lastNumber;
  private long refusedAt;

  @BeforeEach
  void listWorker() {
    listWorkers(worker("w", 16_000, false));
    report("w", List.of());
    step(0, new DispatchEvent.JobsLoaded(1, List.of(), List.of()));
    actions.clear();
  }

  private static JobDescription job(JobFeature... features) {
    List<StepSpec> steps = List.of(tasks(1, List.of()));
    return new JobDescription(ID, "p", steps, Set.of(features));
  }

  private SubmissionNumber submit(String entry, long heardAt, int generation, long deadline) {
    SubmissionNumber number = new SubmissionNumber(++lastNumber);
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job(), REQUEST_CLASS, entry, now, deadline, generation, "", number, heardAt));
    return number;
  }

  private SubmissionNumber submit(String entry, long heardAt) {
    return submit(entry, heardAt, 0, now + 10 * SECOND_MICROS);
  }

  private void call(JobCallKind kind, String entry, long heardAt) {
    StoredJob record = new StoredJob(job(JobFeature.DURABLE), REQUEST_CLASS, 10_000);
    step(
        1,
        new DispatchEvent.JobCallReceived(kind, ID, record, entry, ++lastNumber, now, 1, heardAt));
  }

  /** Lets the leader refuse the job of a host, as its caller's deadline passes before a start. */
  private void refuseJobOf(String entry) {
    step(0, new DispatchEvent.StartsAllowed(false));
    submit(entry, now, 0, now + 1_000);
    step(2_000, new DispatchEvent.Tick());
    refusedAt = now;
    assertThat(takeOnlyFinish().outcome()).isEqualTo(JobOutcome.REFUSED);
    step(1, new DispatchEvent.StartsAllowed(true));
  }

  private DispatchAction.Finish takeOnlyFinish() {
    List<DispatchAction.Finish> ends = takeActions(DispatchAction.Finish.class);
    assertThat(ends).hasSize(1);
    return ends.get(0);
  }

  private void assertNothingStarted() {
    step(20, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
  }

  @Test
  void submissionOfOtherHostSentBeforeRefusalIsRefused() {
    refuseJobOf("first");
    SubmissionNumber number = submit("second", refusedAt - 1);
    DispatchAction.Finish answer = takeOnlyFinish();
    assertThat(answer.outcome()).isEqualTo(JobOutcome.REFUSED);
    assertThat(answer.entries()).isEqualTo(Map.of("second", number));
    assertNothingStarted();
  }

  /** A caller that comes back is let in, at the same host and at another. */
  @Test
  void submissionSentAfterRefusalIsStarted() {
    refuseJobOf("first");
    submit("first", refusedAt + 1);
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
  }

  /** The refusal that is told to the second host is a promise as well. */
  @Test
  void submissionSentBeforeRefusalWasToldAgainIsRefused() {
    refuseJobOf("first");
    step(100, new DispatchEvent.Tick());
    final long heardAt = now;
    submit("second", refusedAt - 1);
    assertThat(takeOnlyFinish().outcome()).isEqualTo(JobOutcome.REFUSED);
    submit("third", heardAt);
    assertThat(takeOnlyFinish().outcome()).isEqualTo(JobOutcome.REFUSED);
    assertNothingStarted();
  }

  /** A job that a previous leader may have started is never reported as not run. */
  @Test
  void submissionThatPreviousLeaderHadIsAbandoned() {
    refuseJobOf("first");
    submit("second", refusedAt - 1, 1, now + SECOND_MICROS);
    assertThat(takeOnlyFinish().outcome()).isEqualTo(JobOutcome.ABANDONED);
    assertNothingStarted();
  }

  /** A caller that has left may submit its job to another host. */
  @Test
  void submissionSentBeforeWithdrawalOfOtherHostIsStarted() {
    step(0, new DispatchEvent.StartsAllowed(false));
    submit("first", now);
    final long heardAt = now;
    step(1, new DispatchEvent.JobWithdrawn(ID, "first"));
    actions.clear();
    submit("second", heardAt);
    step(1, new DispatchEvent.StartsAllowed(true));
    assertThat(takeActions(DispatchAction.Start.class)).hasSize(1);
  }

  /** What is no longer remembered is not started; whether it ran before isn't known either. */
  @Test
  void submissionOlderThanRememberedRefusalsIsAbandoned() {
    refuseJobOf("first");
    for (int second = 0; second < 20; second++) {
      step(1_000, new DispatchEvent.Tick());
    }
    submit("second", refusedAt);
    assertThat(takeOnlyFinish().outcome()).isEqualTo(JobOutcome.ABANDONED);
    submit("second", refusedAt + 1);
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
  }

  @Test
  void durableSubmissionSentBeforeRefusalIsNotStored() {
    refuseJobOf("first");
    call(JobCallKind.SUBMIT, "second", refusedAt - 1);
    List<DispatchAction.Reply> replies = takeActions(DispatchAction.Reply.class);
    assertThat(replies).hasSize(1);
    assertThat(replies.get(0).result()).isEqualTo(JobCallResult.REFUSED);
    step(100, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Store.class)).isEmpty();
  }
}
