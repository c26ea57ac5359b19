package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerReport.ActiveRun;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/** Workers that are missing from the list and may be at work all the same. */
class RosterTest extends DispatcherFixture {

  private static final JobId ID = new JobId("00000000000000aa");
  private static final RunRef EARLIER = new RunRef(new TaskRef(ID, 0, 0), 1);
  private static final WorkerInfo LISTED = worker("listed", 64_000, false);
  private static final WorkerInfo EXPIRED = worker("lapsed", 64_000, false);

  private void submit(int generation) {
    JobDescription job = new JobDescription(ID, "p", List.of(tasks(1, List.of())), Set.of());
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, "e", now, now + 5_000 * MICROS_PER_MILLI, generation));
  }

  private void tick(long millis) {
    for (long passed = 0; passed < millis; passed += 20) {
      step(20, new DispatchEvent.Tick());
    }
  }

  private List<String> orderedWorkers() {
    return takeActions(DispatchAction.Start.class).stream()
        .map(start -> start.worker().id())
        .toList();
  }

  private List<RosterChange> changes(DispatchEvent event) {
    return dispatcher.step(now, event).stream()
        .filter(DispatchAction.StoreRoster.class::isInstance)
        .map(action -> ((DispatchAction.StoreRoster) action).change())
        .toList();
  }

  @Test
  void handedOnJobWaitsForLapsedWorkerThatDoesNotAnswer() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(LISTED, EXPIRED));
    listWorkers(LISTED);
    report("listed", List.of());
    submit(1);
    tick(1_600);
    assertThat(orderedWorkers()).isEmpty();
    tick(200);
    assertThat(orderedWorkers()).containsExactly("listed");
  }

  @Test
  void lapsedWorkerIsAskedAndItsRunTakenOver() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(LISTED, EXPIRED));
    listWorkers(LISTED);
    report("listed", List.of());
    assertThat(takeActions(DispatchAction.Renew.class).stream().map(renew -> renew.worker().id()))
        .contains("lapsed");
    report("lapsed", List.of(new ActiveRun(EARLIER, 40)));
    listWorkers(LISTED);
    submit(1);
    assertThat(orderedWorkers()).isEmpty();
    report("lapsed", List.of(), new WorkerReport.Completion(1, EARLIER, RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }

  @Test
  void nothingIsSettledBeforeTheRosterIsRead() {
    dispatcher = new Dispatcher(POLICY, now, now + 1_700 * MICROS_PER_MILLI, 0);
    step(0, new DispatchEvent.DomainsDrained(Set.of()));
    listWorkers(LISTED);
    report("listed", List.of());
    submit(1);
    tick(100);
    assertThat(orderedWorkers()).isEmpty();
    step(1, new DispatchEvent.RosterLoaded(List.of(LISTED)));
    assertThat(orderedWorkers()).containsExactly("listed");
  }

  @Test
  void workerGetsNoWorkBeforeItIsStored() {
    beginTerm(now);
    now += MICROS_PER_MILLI;
    List<RosterChange> changes = changes(new DispatchEvent.WorkersListed(List.of(LISTED)));
    assertThat(changes.get(0).added()).containsExactly(LISTED);
    report("listed", List.of());
    submit(0);
    tick(100);
    assertThat(orderedWorkers()).isEmpty();
    step(1, new DispatchEvent.RosterStored(changes.get(0).number()));
    assertThat(orderedWorkers()).containsExactly("listed");
  }

  @Test
  void workerThatIsGoneIsDroppedAndStoredAgainWhenItIsBack() {
    beginTerm(now);
    listWorkers(LISTED, EXPIRED);
    report("listed", List.of());
    report("lapsed", List.of());
    // Until then it may be missing as the store was away before this term.
    for (int i = 0; i < 5; i++) {
      tick(500);
      listWorkers(LISTED, EXPIRED);
    }
    now += MICROS_PER_MILLI;
    List<RosterChange> gone = changes(new DispatchEvent.WorkersListed(List.of(LISTED)));
    assertThat(gone.get(0).removed()).containsExactly("lapsed");
    assertThat(changes(new DispatchEvent.WorkersListed(List.of(LISTED, EXPIRED)))).isEmpty();
    List<RosterChange> back = changes(new DispatchEvent.RosterStored(gone.get(0).number()));
    assertThat(back.get(0).added()).containsExactly(EXPIRED);
  }

  @Test
  void lapsedWorkerWithRunOfUnknownJobIsNotForgotten() {
    beginTerm(now, List.of(LISTED, EXPIRED));
    listWorkers(LISTED);
    report("listed", List.of());
    report("lapsed", List.of(new ActiveRun(EARLIER, 40)));
    step(100, new DispatchEvent.WorkersListed(List.of(LISTED)));
    submit(1);
    assertThat(orderedWorkers()).isEmpty();
    report("lapsed", List.of(), new WorkerReport.Completion(1, EARLIER, RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }

  /** Has the list of workers unread for so long that entries may lapse. */
  private void loseStoreConnection() {
    tick(3_000);
    actions.clear();
  }

  @Test
  void workerWhoseEntryLapsedWithTheStoreIsGivenWork() {
    beginTerm(now);
    listWorkers(LISTED, EXPIRED);
    report("listed", List.of());
    report("lapsed", List.of());
    loseStoreConnection();
    listWorkers();
    submit(0);
    assertThat(orderedWorkers()).hasSize(1);
  }

  @Test
  void workerOfEarlierTermWhoseEntryLapsedIsGivenWork() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(EXPIRED));
    listWorkers();
    submit(0);
    assertThat(orderedWorkers()).isEmpty();
    report("lapsed", List.of());
    assertThat(orderedWorkers()).containsExactly("lapsed");
  }

  @Test
  void workerThatIsNotBackInTimeIsGone() {
    beginTerm(now);
    listWorkers(LISTED, EXPIRED);
    report("listed", List.of());
    report("lapsed", List.of());
    loseStoreConnection();
    for (int i = 0; i < 6; i++) {
      tick(500);
      listWorkers(LISTED);
    }
    submit(0);
    assertThat(orderedWorkers()).containsExactly("listed");
  }

  @Test
  void jobIsNotFailedWhileTheWorkersForItMayBeBack() {
    beginTerm(now, List.of(EXPIRED));
    listWorkers(worker("small", 500, false));
    submit(0);
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
    report("lapsed", List.of());
    assertThat(orderedWorkers()).containsExactly("lapsed");
  }

  @Test
  void jobIsNotFailedBeforeTheRosterIsRead() {
    dispatcher = new Dispatcher(POLICY, now, now, 0);
    listWorkers(worker("small", 500, false));
    submit(0);
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
  }

  @Test
  void drainingIsStoredForTheNextLeader() {
    beginTerm(now);
    listWorkers(LISTED);
    now += MICROS_PER_MILLI;
    WorkerInfo draining = worker("listed", 64_000, true);
    List<RosterChange> changes = changes(new DispatchEvent.WorkersListed(List.of(draining)));
    assertThat(changes.get(0).added()).containsExactly(draining);
  }

  @Test
  void manyWorkersAreStoredInSeveralChanges() {
    beginTerm(now);
    WorkerInfo[] many = new WorkerInfo[100];
    for (int i = 0; i < many.length; i++) {
      many[i] = worker("w" + i, 1_000, false);
    }
    listWorkers(many);
    for (WorkerInfo each : many) {
      report(each.id(), List.of());
    }
    submit(0);
    assertThat(orderedWorkers()).hasSize(1);
    assertThat(changes(new DispatchEvent.WorkersListed(List.of(many)))).isEmpty();
  }

  /**
   * Its caller sent it again to another host, whose submission came in before the one handed on.
   */
  @Test
  void jobThatIsHandedOnAfterItWasSentAgainWaitsForLapsedWorker() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(LISTED, EXPIRED));
    submit(0);
    submit(1);
    listWorkers(LISTED);
    report("listed", List.of());
    tick(100);
    assertThat(orderedWorkers()).isEmpty();
  }

  /** A report holds at most 500 ends: what ended may be told by a later one only. */
  @Test
  void workerThatHasMoreEndsThanOneReportHoldsHasNotAnsweredYet() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(LISTED));
    listWorkers(LISTED);
    WorkerReport.Completion[] first = new WorkerReport.Completion[500];
    for (int i = 0; i < first.length; i++) {
      JobId other = new JobId(String.format(Locale.ROOT, "%016x", 0xfff000 + i));
      first[i] =
          new WorkerReport.Completion(
              i + 1, new RunRef(new TaskRef(other, 0, 0), 1), RunOutcome.STOPPED);
    }
    submit(1);
    report("listed", List.of(), first);
    assertThat(orderedWorkers()).isEmpty();
    report("listed", List.of(), new WorkerReport.Completion(501, EARLIER, RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }

  /** While the stored jobs are not known the same first ends come back each time. */
  @Test
  void workerThatMustKeepItsEndsIsRenewedWithoutHaste() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(LISTED));
    listWorkers(LISTED);
    submit(1);
    WorkerReport.Completion[] kept = new WorkerReport.Completion[MAX_COMPLETIONS_PER_REPORT];
    for (int i = 0; i < kept.length; i++) {
      JobId other = new JobId(String.format(Locale.ROOT, "%016x", 0xfff000 + i));
      kept[i] =
          new WorkerReport.Completion(
              i + 1, new RunRef(new TaskRef(other, 0, 0), 1), RunOutcome.DONE);
    }
    actions.clear();
    report("listed", List.of(new ActiveRun(EARLIER, 40)), kept);
    long renewedAt = now;
    int renewals = 0;
    for (int i = 0; i < 100; i++) {
      tick(20);
      for (DispatchAction.Renew renew : takeActions(DispatchAction.Renew.class)) {
        assertThat(renew.acknowledged()).isEqualTo(0);
        assertThat(renew.leaseUntilMillis()).isGreaterThan(now / MICROS_PER_MILLI + 500);
        assertThat(now - renewedAt).isLessThan(400 * MICROS_PER_MILLI);
        renewedAt = now;
        renewals++;
        report("listed", List.of(new ActiveRun(EARLIER, 40 + i / 2)), kept);
      }
    }
    assertThat(now - renewedAt).isLessThan(400 * MICROS_PER_MILLI);
    assertThat(renewals).isLessThan(25);
    assertThat(orderedWorkers()).isEmpty();
  }
}
