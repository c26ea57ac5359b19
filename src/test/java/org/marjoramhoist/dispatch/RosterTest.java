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

/** Workers that are missing from the list although they may have running tasks. */
class RosterTest extends DispatcherFixture {

  private static final JobId ID = new JobId("00000000000000aa");
  private static final RunRef EARLIER = new RunRef(new TaskRef(ID, 0, 0), 1);
  private static final WorkerInfo LISTED = worker("listed", 64_000, false);
  private static final WorkerInfo EXPIRED = worker("expired", 64_000, false);

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

  private List<String> takeOrderedWorkers() {
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
  void resubmittedJobWaitsForExpiredWorkerThatDoesNotRespond() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(LISTED, EXPIRED));
    listWorkers(LISTED);
    report("listed", List.of());
    submit(1);
    tick(1_600);
    assertThat(takeOrderedWorkers()).isEmpty();
    tick(200);
    assertThat(takeOrderedWorkers()).containsExactly("listed");
  }

  @Test
  void expiredWorkerIsQueriedAndItsRunAdopted() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(LISTED, EXPIRED));
    listWorkers(LISTED);
    report("listed", List.of());
    assertThat(takeActions(DispatchAction.Renew.class).stream().map(renew -> renew.worker().id()))
        .contains("expired");
    report("expired", List.of(new ActiveRun(EARLIER, 40)));
    listWorkers(LISTED);
    submit(1);
    assertThat(takeOrderedWorkers()).isEmpty();
    report("expired", List.of(), new WorkerReport.Completion(1, EARLIER, RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }

  @Test
  void nothingIsSettledBeforeTheRosterIsLoaded() {
    dispatcher = new Dispatcher(POLICY, now, now + 1_700 * MICROS_PER_MILLI, 0);
    step(0, new DispatchEvent.DomainsDrained(Set.of()));
    listWorkers(LISTED);
    report("listed", List.of());
    submit(1);
    tick(100);
    assertThat(takeOrderedWorkers()).isEmpty();
    step(1, new DispatchEvent.RosterLoaded(List.of(LISTED)));
    assertThat(takeOrderedWorkers()).containsExactly("listed");
  }

  @Test
  void workerIsAssignedNoWorkBeforeItIsStored() {
    beginTerm(now);
    now += MICROS_PER_MILLI;
    List<RosterChange> changes = changes(new DispatchEvent.WorkersListed(List.of(LISTED)));
    assertThat(changes.get(0).added()).containsExactly(LISTED);
    report("listed", List.of());
    submit(0);
    tick(100);
    assertThat(takeOrderedWorkers()).isEmpty();
    step(1, new DispatchEvent.RosterStored(changes.get(0).number()));
    assertThat(takeOrderedWorkers()).containsExactly("listed");
  }

  @Test
  void lostWorkerIsRemovedAndStoredAgainWhenItIsRelisted() {
    beginTerm(now);
    listWorkers(LISTED, EXPIRED);
    report("listed", List.of());
    report("expired", List.of());
    // Until then it may be missing because the store was unavailable before this term.
    for (int i = 0; i < 5; i++) {
      tick(500);
      listWorkers(LISTED, EXPIRED);
    }
    now += MICROS_PER_MILLI;
    List<RosterChange> removal = changes(new DispatchEvent.WorkersListed(List.of(LISTED)));
    assertThat(removal.get(0).removed()).containsExactly("expired");
    assertThat(changes(new DispatchEvent.WorkersListed(List.of(LISTED, EXPIRED)))).isEmpty();
    List<RosterChange> relisting = changes(new DispatchEvent.RosterStored(removal.get(0).number()));
    assertThat(relisting.get(0).added()).containsExactly(EXPIRED);
  }

  @Test
  void expiredWorkerWithRunOfUnknownJobIsRetained() {
    beginTerm(now, List.of(LISTED, EXPIRED));
    listWorkers(LISTED);
    report("listed", List.of());
    report("expired", List.of(new ActiveRun(EARLIER, 40)));
    step(100, new DispatchEvent.WorkersListed(List.of(LISTED)));
    submit(1);
    assertThat(takeOrderedWorkers()).isEmpty();
    report("expired", List.of(), new WorkerReport.Completion(1, EARLIER, RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }

  /** Does not read the list of workers for so long that entries may have expired. */
  private void loseStoreConnection() {
    tick(3_000);
    actions.clear();
  }

  @Test
  void workerWhoseEntryExpiredInStoreOutageIsAssignedWork() {
    beginTerm(now);
    listWorkers(LISTED, EXPIRED);
    report("listed", List.of());
    report("expired", List.of());
    loseStoreConnection();
    listWorkers();
    submit(0);
    assertThat(takeOrderedWorkers()).hasSize(1);
  }

  @Test
  void workerOfPreviousTermWhoseEntryExpiredIsAssignedWork() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(EXPIRED));
    listWorkers();
    submit(0);
    assertThat(takeOrderedWorkers()).isEmpty();
    report("expired", List.of());
    assertThat(takeOrderedWorkers()).containsExactly("expired");
  }

  @Test
  void workerThatIsNotRelistedInTimeIsAssignedNoWork() {
    beginTerm(now);
    listWorkers(LISTED, EXPIRED);
    report("listed", List.of());
    report("expired", List.of());
    loseStoreConnection();
    for (int i = 0; i < 6; i++) {
      tick(500);
      listWorkers(LISTED);
    }
    submit(0);
    assertThat(takeOrderedWorkers()).containsExactly("listed");
  }

  @Test
  void jobIsNotFailedWhileItsWorkersMayBeRelisted() {
    beginTerm(now, List.of(EXPIRED));
    listWorkers(worker("small", 500, false));
    submit(0);
    assertThat(takeActions(DispatchAction.Finish.class)).isEmpty();
    report("expired", List.of());
    assertThat(takeOrderedWorkers()).containsExactly("expired");
  }

  @Test
  void jobIsNotFailedBeforeTheRosterIsLoaded() {
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
    assertThat(takeOrderedWorkers()).hasSize(1);
    assertThat(changes(new DispatchEvent.WorkersListed(List.of(many)))).isEmpty();
  }

  /**
   * The caller submitted the job again to another host, whose submission is handled before the
   * resubmitted one.
   */
  @Test
  void jobSubmittedTwiceAndResubmittedWaitsForExpiredWorker() {
    beginTerm(now + 1_700 * MICROS_PER_MILLI, List.of(LISTED, EXPIRED));
    submit(0);
    submit(1);
    listWorkers(LISTED);
    report("listed", List.of());
    tick(100);
    assertThat(takeOrderedWorkers()).isEmpty();
  }

  /** A report holds at most 500 completions; the missing completion may follow in a later one. */
  @Test
  void workerWithMoreCompletionsThanOneReportHoldsIsNotSynced() {
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
    assertThat(takeOrderedWorkers()).isEmpty();
    report("listed", List.of(), new WorkerReport.Completion(501, EARLIER, RunOutcome.DONE));
    assertThat(takeActions(DispatchAction.Finish.class).get(0).outcome())
        .isEqualTo(JobOutcome.SUCCEEDED);
  }

  /** The worker reports the same first completions each time until the stored jobs are loaded. */
  @Test
  void workerWithHeldCompletionsIsRenewedAtTheNormalRate() {
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
    assertThat(takeOrderedWorkers()).isEmpty();
  }
}
