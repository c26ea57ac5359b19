package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.SubmissionNumber;

/**
 * Jobs of an entry host that has lost its leader and found it again. Guards against a job that goes
 * on although its host has cancelled it, or given it up, while it reached no leader.
 */
class ReconnectedHostTest extends DispatcherFixture {

  private static final JobId ID = new JobId("00000000000000aa");
  private static final long SECOND_MICROS = 1_000_000;

  private long lastNumber;

  @BeforeEach
  void listWorker() {
    listWorkers(worker("w", 16_000, false));
    report("w", List.of());
    actions.clear();
  }

  private void submit(String entry) {
    JobDescription job = new JobDescription(ID, "p", List.of(tasks(1, List.of())), Set.of());
    SubmissionNumber number = new SubmissionNumber(++lastNumber);
    long deadline = now + 10 * SECOND_MICROS;
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, entry, now, deadline, 0, "", number, now));
  }

  private RunRef runFor(String entry) {
    submit(entry);
    RunRef run = takeActions(DispatchAction.Start.class).get(0).run();
    confirmStart("w", run);
    return run;
  }

  private List<RunRef> stoppedRuns() {
    return takeActions(DispatchAction.Stop.class).stream().map(DispatchAction.Stop::run).toList();
  }

  @Test
  void jobThatIsNotSubmittedAgainIsStopped() {
    RunRef run = runFor("host");
    step(10, new DispatchEvent.EntryHostReconnected("host", now + 1));
    assertThat(stoppedRuns()).containsExactly(run);
  }

  @Test
  void jobThatIsSubmittedAgainGoesOn() {
    runFor("host");
    step(10, new DispatchEvent.Tick());
    final long since = now;
    submit("host");
    step(1, new DispatchEvent.EntryHostReconnected("host", since));
    assertThat(stoppedRuns()).isEmpty();
  }

  @Test
  void jobThatOtherHostWaitsForGoesOn() {
    final RunRef run = runFor("host");
    submit("other");
    step(10, new DispatchEvent.EntryHostReconnected("host", now + 1));
    assertThat(stoppedRuns()).isEmpty();
    step(10, new DispatchEvent.EntryHostReconnected("other", now + 1));
    assertThat(stoppedRuns()).containsExactly(run);
  }
}
