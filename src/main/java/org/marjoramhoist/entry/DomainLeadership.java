package org.marjoramhoist.entry;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.marjoramhoist.dispatch.DispatchAction;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.dispatch.Dispatcher;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.platform.PlatformWorkerClient;

/**
 * One term of leading a failure domain that is cut off from the store and the other hosts: its
 * workers as they were last known, and ephemeral jobs of its hosts.
 *
 * <p>Nothing is stored. Confined to the loop's thread.
 */
final class DomainLeadership extends Leadership {

  /** Workers stay listed as long as the list that names them counts as read lately. */
  private static final long WORKER_LIST_INTERVAL_MILLIS = 500;

  private final List<WorkerInfo> workers;

  /**
   * Creates a term.
   *
   * @param term the highest term of the partition that is known, the fencing token of all orders
   * @param policy the bounds of a leader of a failure domain
   * @param workers the domain's workers
   * @param drained which failure domains are drained, as this host knows
   * @param onStale is told why this host must not lead any more
   */
  DomainLeadership(
      long term,
      DispatchPolicy policy,
      List<WorkerInfo> workers,
      DrainedDomains drained,
      EventLoop loop,
      PlatformWorkerClient calls,
      NodeMetrics metrics,
      Permissions permits,
      Delivery delivery,
      Consumer<String> onStale) {
    super(
        term,
        new Dispatcher(policy, EventLoop.now(), EventLoop.now(), 0),
        drained,
        loop,
        calls,
        metrics,
        permits,
        delivery,
        onStale);
    this.workers = workers;
  }

  /**
   * Begins.
   *
   * @param kept the jobs that a leader before, which has handed over, may still have runs of
   */
  void start(Set<JobId> kept) {
    subscribeToDrains();
    handle(new DispatchEvent.PredecessorHandedOver(kept));
    handle(new DispatchEvent.RosterLoaded(workers));
    handle(new DispatchEvent.JobsLoaded(0, List.of(), List.of()));
    refreshWorkerList();
    tick();
  }

  private void refreshWorkerList() {
    if (!isClosed()) {
      handle(new DispatchEvent.WorkersListed(workers));
      loop.schedule(WORKER_LIST_INTERVAL_MILLIS, this::refreshWorkerList);
    }
  }

  /** Starts nothing from now on; what has not begun is refused, the rest looked after. */
  void handOver(String reason) {
    handleImmediately(new DispatchEvent.HandOverStarted(reason));
  }

  /** Tells whether the workers were found free of other leaders' runs. */
  boolean usesWorkers() {
    return dispatcher.usesWorkers();
  }

  /** Returns the jobs that may have runs at work. */
  Set<JobId> possiblyRunningJobs() {
    return dispatcher.possiblyRunningJobs();
  }

  /** Gives up all jobs, told to the hosts that wait for them, and ends the term. */
  void endTerm(String reason) {
    handleImmediately(new DispatchEvent.TermEnded(reason));
    close();
  }

  @Override
  void executeOther(DispatchAction action) {
    // Without the store there is nothing to write, and no call about a stored job comes here.
  }
}
