package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.SubmissionNumber;

/**
 * Best-effort jobs that are cancelled while several hosts have them. Guards against a task that is
 * started although the cancellation of its job was acknowledged.
 */
class CancelledJobTest extends DispatcherFixture {

  private static final JobId ID = new JobId("00000000000000aa");
  private static final long SECOND_MICROS = 1_000_000;

  private long lastNumber;

  /** Nothing starts before a test has cancelled the job, as in an overload. */
  @BeforeEach
  void listWorker() {
    listWorkers(worker("w", 16_000, false));
    report("w", List.of());
    step(0, new DispatchEvent.JobsLoaded(1, List.of(), List.of()));
    step(0, new DispatchEvent.StartsAllowed(false));
    actions.clear();
  }

  private void submit(String entry, long heardAt, long deadline) {
    JobDescription job = new JobDescription(ID, "p", List.of(tasks(1, List.of())), Set.of());
    SubmissionNumber number = new SubmissionNumber(++lastNumber);
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, entry, now, deadline, 0, "", number, heardAt));
  }

  private void submit(String entry, long heardAt) {
    submit(entry, heardAt, now + 10 * SECOND_MICROS);
  }

  private void cancelByCall() {
    step(
        1,
        new DispatchEvent.JobCallReceived(
            JobCallKind.CANCEL, ID, null, "third", ++lastNumber, now, 1, now));
  }

  /** Cancels the job at a host that has it open, which acknowledges that by itself. */
  private void cancelAt(String entry) {
    step(10, new DispatchEvent.JobWithdrawn(ID, entry, true));
  }

  private JobOutcome lastOutcome() {
    List<DispatchAction.Finish> ends = takeActions(DispatchAction.Finish.class);
    return ends.get(ends.size() - 1).outcome();
  }

  private void assertNothingStarts() {
    step(20, new DispatchEvent.StartsAllowed(true));
    step(20, new DispatchEvent.Tick());
    assertThat(takeActions(DispatchAction.Start.class)).isEmpty();
  }

  @Test
  void submissionSentBeforeStartsNothing() {
    submit("first", now);
    cancelByCall();
    submit("first", now - 1);
    assertThat(lastOutcome()).isEqualTo(JobOutcome.CANCELLED);
    assertNothingStarts();
  }

  /** The host hasn't received the outcome, as its link broke, and submits on its new link. */
  @Test
  void hostThatWasNotToldStartsNothing() {
    submit("first", now);
    cancelByCall();
    step(100, new DispatchEvent.Tick());
    submit("first", now);
    assertThat(lastOutcome()).isEqualTo(JobOutcome.CANCELLED);
    assertNothingStarts();
  }

  @Test
  void unknownJobStartsNothingLater() {
    cancelByCall();
    assertThat(takeActions(DispatchAction.Reply.class).get(0).result())
        .isEqualTo(JobCallResult.UNKNOWN_JOB);
    step(100, new DispatchEvent.Tick());
    submit("first", now);
    assertThat(lastOutcome()).isEqualTo(JobOutcome.CANCELLED);
    assertNothingStarts();
  }

  @Test
  void jobThatWasRefusedBeforeStartsNothing() {
    submit("first", now, now + 1_000);
    step(2, new DispatchEvent.Tick());
    assertThat(lastOutcome()).isEqualTo(JobOutcome.REFUSED);
    step(1_500, new DispatchEvent.Tick());
    final long heardAt = now;
    step(50, new DispatchEvent.Tick());
    cancelByCall();
    submit("second", heardAt);
    assertNothingStarts();
  }

  @Test
  void jobThatOtherHostHasOpenStartsNothing() {
    submit("first", now);
    submit("second", now);
    cancelAt("first");
    assertThat(lastOutcome()).isEqualTo(JobOutcome.CANCELLED);
    assertNothingStarts();
  }

  @Test
  void submissionOfOtherHostStartsNothing() {
    submit("first", now);
    final long heardAt = now;
    cancelAt("first");
    submit("second", heardAt);
    assertNothingStarts();
  }
}
