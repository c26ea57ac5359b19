package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;

/** Decisions while the capacity of workers shrinks and grows again. */
class WorkerCapacityTest extends DispatcherFixture {

  private static final WorkerInfo SMALL = worker("w", 2_000, false);

  private int jobs;

  private void submit(StepSpec step) {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++jobs));
    JobDescription job = new JobDescription(id, "p", List.of(step), Set.of());
    long deadline = now + 9_000 * MICROS_PER_MILLI;
    step(1, new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "e", now, deadline, 0));
  }

  private int starts() {
    return startedRuns().size();
  }

  private List<RunRef> startedRuns() {
    List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
    starts.forEach(start -> confirmStart(start.worker().id(), start.run()));
    return starts.stream().map(DispatchAction.Start::run).toList();
  }

  @Test
  void startsNothingBeyondSmallerCapacityAndGoesOnOnceItGrows() {
    listWorkers(worker("w", 8_000, false));
    report("w", List.of());
    submit(tasks(4, List.of()));
    assertThat(starts()).isEqualTo(4);
    listWorkers(worker("w", 2_000, false));
    submit(tasks(2, List.of()));
    assertThat(starts()).isEqualTo(0);
    listWorkers(worker("w", 8_000, false));
    assertThat(starts()).isEqualTo(2);
  }

  @Test
  void runThatIsBeingStoppedCountsAgainstTheSmallerCapacity() {
    listWorkers(worker("w", 4_000, false));
    report("w", List.of());
    submit(tasks(2, List.of()));
    assertThat(starts()).isEqualTo(2);
    step(
        1,
        new DispatchEvent.JobWithdrawn(new JobId(String.format(Locale.ROOT, "%016x", jobs)), "e"));
    listWorkers(SMALL);
    submit(tasks(2, List.of()));
    List<RunRef> stopped = confirmStops();
    assertThat(starts()).isEqualTo(0);
    report("w", List.of(active(stopped.get(0))), stopped(1, stopped.get(1)));
    List<RunRef> next = startedRuns();
    assertThat(next).hasSize(1);
    listWorkers(worker("w", 1_000, false));
    report("w", List.of(active(next.get(0))), stopped(2, stopped.get(0)));
    assertThat(starts()).isEqualTo(0);
  }

  private List<RunRef> confirmStops() {
    List<RunRef> runs =
        takeActions(DispatchAction.Stop.class).stream().map(DispatchAction.Stop::run).toList();
    runs.forEach(run -> step(1, new DispatchEvent.StopEnded("w", run, true)));
    return runs;
  }

  private static WorkerReport.ActiveRun active(RunRef run) {
    return new WorkerReport.ActiveRun(run, 0);
  }

  private static WorkerReport.Completion stopped(long sequence, RunRef run) {
    return new WorkerReport.Completion(sequence, run, WorkerReport.RunOutcome.STOPPED);
  }

  /** It was failed as one that no worker could ever run. */
  @Test
  void jobThatFitsOnlyTheLargestCapacityWaitsForIt() {
    listWorkers(worker("w", 8_000, false));
    report("w", List.of());
    listWorkers(worker("w", 2_000, false));
    submit(new StepSpec(1, new Resources(4_000, 1, 0), 50, List.of(), "", "", 0));
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
    listWorkers(worker("w", 8_000, false));
    assertThat(starts()).isEqualTo(1);
  }

  /** A leader that was elected while the worker was small failed it. */
  @Test
  void jobThatFitsTheCapacityInTheRosterWaitsForIt() {
    listWorkers(worker("w", 8_000, false));
    now += MICROS_PER_MILLI;
    RosterChange change = rosterChange(new DispatchEvent.WorkersListed(List.of(SMALL)));
    beginTerm(now);
    listWorkers(SMALL);
    step(1, new DispatchEvent.RosterLoaded(change.added()));
    report("w", List.of());
    submit(new StepSpec(1, new Resources(4_000, 1, 0), 50, List.of(), "", "", 0));
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
    assertThat(starts()).isEqualTo(0);
    listWorkers(worker("w", 8_000, false));
    assertThat(starts()).isEqualTo(1);
  }

  private RosterChange rosterChange(DispatchEvent event) {
    return dispatcher.step(now, event).stream()
        .filter(DispatchAction.StoreRoster.class::isInstance)
        .map(action -> ((DispatchAction.StoreRoster) action).change())
        .findFirst()
        .orElseThrow();
  }

  @Test
  void jobThatFitsNoCapacityAnyWorkerHadFails() {
    learnWorkers(worker("w", 8_000, false));
    report("w", List.of());
    assertThat(outcomeOfJobTooLarge()).isEqualTo(JobOutcome.FAILED);
  }

  private JobOutcome outcomeOfJobTooLarge() {
    submit(new StepSpec(1, new Resources(9_000, 1, 0), 50, List.of(), "", "", 0));
    DispatchAction.Finish end = takeActions(DispatchAction.Finish.class).get(0);
    if (end.outcome() == JobOutcome.REFUSED) {
      assertThat(end.retryAfterMillis()).isGreaterThan(0);
    }
    return end.outcome();
  }

  /** A leader that knew too few workers, or too small ones, failed jobs that others could run. */
  @Test
  void jobIsNotFailedAsImpossibleByNewLeader() {
    listWorkers(worker("w", 8_000, false));
    report("w", List.of());
    assertThat(outcomeOfJobTooLarge()).isEqualTo(JobOutcome.REFUSED);
  }

  @Test
  void jobIsNotFailedAsImpossibleSoonAfterTheStoreWasAway() {
    learnWorkers(worker("w", 8_000, false));
    step(3_000, new DispatchEvent.Tick());
    assertThat(outcomeOfJobTooLarge()).isEqualTo(JobOutcome.REFUSED);
    listWorkers(worker("w", 8_000, false));
    assertThat(outcomeOfJobTooLarge()).isEqualTo(JobOutcome.REFUSED);
    learnWorkers(worker("w", 8_000, false));
    assertThat(outcomeOfJobTooLarge()).isEqualTo(JobOutcome.FAILED);
  }

  /** The entries of workers that are cut off lapse. */
  @Test
  void jobIsNotFailedAsImpossibleWhileTheWorkersForItAreNotListed() {
    learnWorkers(worker("w", 8_000, false), worker("large", 9_000, false));
    learnWorkers(worker("w", 8_000, false));
    submit(new StepSpec(1, new Resources(9_000, 1, 0), 50, List.of(), "", "", 0));
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
  }

  @Test
  void capacityOfOldEntryOrOfAnotherIncarnationIsNotKnown() {
    Worker worker = new Worker(worker("w", 8_000, false).writtenBy(5, 1_000));
    worker.restarted(5);
    worker.clock.update(1_000, now, now);
    assertThat(worker.isCapacityKnown(now + 3_000 * MICROS_PER_MILLI)).isTrue();
    assertThat(worker.isCapacityKnown(now + 4_500 * MICROS_PER_MILLI)).isFalse();
    worker.restarted(6);
    worker.clock.update(1_000, now, now);
    assertThat(worker.isCapacityKnown(now)).isFalse();
  }

  /** What runs beyond a smaller capacity was taken off the free capacity of other workers. */
  @Test
  void workerBeyondItsCapacityHasNoPlaces() {
    Worker worker = new Worker(worker("w", 8_000, false));
    worker.freeResources = worker.freeResources.minus(new Resources(6_000, 1, 0));
    worker.setInfo(worker("w", 1_000, false));
    assertThat(worker.placesFor(1_000)).isEqualTo(0);
    worker.setInfo(worker("w", 8_000, false));
    assertThat(worker.placesFor(1_000)).isEqualTo(2);
  }
}
