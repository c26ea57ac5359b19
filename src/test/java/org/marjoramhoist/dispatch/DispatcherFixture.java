package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramhoist.dispatch.StartReply.Verdict;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;

/** A dispatcher with a clock, and the actions that it has returned. */
abstract class DispatcherFixture {

  static final long MICROS_PER_MILLI = 1_000;

  /** The limit of the completions in a worker's report. */
  static final int MAX_COMPLETIONS_PER_REPORT = 500;

  static final RequestClass REQUEST_CLASS =
      new RequestClass("check", "h", "/p/", "reviews", 0, 3, 1.6, 60, false);
  static final DispatchPolicy POLICY = new DispatchPolicy(980, 1.5, 250, 120_000);

  final List<DispatchAction> actions = new ArrayList<>();
  DispatchPolicy policy = POLICY;
  long now = 10_000 * MICROS_PER_MILLI;
  Dispatcher dispatcher;

  DispatcherFixture() {
    beginTerm(now);
  }

  /** Starts a term after leaders that assigned no work to any worker. */
  final void beginTerm(long earlierRunsExpireAt) {
    beginTerm(earlierRunsExpireAt, List.of());
  }

  final void beginTerm(long earlierRunsExpireAt, List<WorkerInfo> roster) {
    dispatcher = new Dispatcher(policy, now, earlierRunsExpireAt, 0);
    step(0, new DispatchEvent.DomainsDrained(Set.of()));
    step(0, new DispatchEvent.RosterLoaded(roster));
  }

  /** Advances the clock and handles an event; changes of the roster are stored at once. */
  final void step(long millis, DispatchEvent event) {
    now += millis * MICROS_PER_MILLI;
    actions.addAll(dispatcher.step(now, event));
    for (DispatchAction.StoreRoster store : takeActions(DispatchAction.StoreRoster.class)) {
      step(0, new DispatchEvent.RosterStored(store.change().number()));
    }
  }

  /** Removes and returns the actions of one type. */
  final <T extends DispatchAction> List<T> takeActions(Class<T> type) {
    List<T> found = actions.stream().filter(type::isInstance).map(type::cast).toList();
    actions.removeIf(type::isInstance);
    return found;
  }

  static WorkerInfo worker(String id, long cpuMillis, boolean draining) {
    return new WorkerInfo(
        id,
        "reviews",
        "10.0.0.1:1",
        "d",
        new Resources(cpuMillis, 1_000, 0),
        "a",
        "r-1",
        Set.of("a", "r-1"),
        draining,
        1);
  }

  /** Creates a step of tasks that each need one core and 50 ms. */
  static StepSpec tasks(int count, List<Integer> after) {
    return new StepSpec(count, new Resources(1_000, 1, 0), 50, after, "", "", 0);
  }

  final void listWorkers(WorkerInfo... workers) {
    step(0, new DispatchEvent.WorkersListed(List.of(workers)));
  }

  /** Lets the leader read the same list again and again until it takes it for complete. */
  final void learnWorkers(WorkerInfo... workers) {
    for (int i = 0; i < 17; i++) {
      step(1_000, new DispatchEvent.WorkersListed(List.of(workers)));
    }
    takeActions(DispatchAction.Renew.class);
  }

  final void report(
      String worker,
      List<WorkerReport.ActiveRun> activeRuns,
      WorkerReport.Completion... completions) {
    now += MICROS_PER_MILLI;
    boolean complete = completions.length < MAX_COMPLETIONS_PER_REPORT;
    WorkerReport report =
        new WorkerReport(now / MICROS_PER_MILLI, 5, activeRuns, List.of(completions), complete);
    step(1, new DispatchEvent.RenewalAnswered(worker, now, Optional.of(report)));
  }

  final void confirmStart(String worker, RunRef run) {
    StartReply reply = new StartReply(Verdict.STARTED, now / MICROS_PER_MILLI);
    step(0, new DispatchEvent.StartAnswered(worker, run, now, reply));
  }

  /** Returns that a start order got no answer in time. */
  static DispatchEvent.StartUnanswered unanswered(String worker, RunRef run, boolean mayRun) {
    return new DispatchEvent.StartUnanswered(
        worker, run, mayRun, CallFailure.SILENT, "no reply in time");
  }
}
