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
 * Leadership of a failure domain that is isolated from the store and the other hosts. It dispatches
 * only ephemeral jobs of the domain's hosts, to the domain's workers as they were last known.
 *
 * <p>Nothing is persisted. Confined to the event loop's thread.
 */
final class DomainLeadership extends Leadership {

  /** The interval at which the worker list is confirmed, so that it never counts as out of date. */
  private static final long WORKER_LIST_INTERVAL_MILLIS = 500;

  private final List<WorkerInfo> workers;

  /**
   * Creates a leadership.
   *
   * @param term the highest known term of the partition, used as the fencing token of all orders
   * @param policy the limits for the leader of a failure domain
   * @param workers the domain's workers
   * @param drained the drained failure domains, as far as this host knows
   * @param onSuperseded receives the reason if this host must stop leading
   */
  DomainLeadership(
      long term,
      DispatchPolicy policy,
      List<WorkerInfo> workers,
      DrainedDomains drained,
      EventLoop loop,
      PlatformWorkerClient workerClient,
      NodeMetrics metrics,
      Permissions permissions,
      Delivery delivery,
      Consumer<String> onSuperseded) {
    super(
        term,
        new Dispatcher(policy, EventLoop.now(), EventLoop.now(), 0),
        drained,
        loop,
        workerClient,
        metrics,
        permissions,
        delivery,
        onSuperseded);
    this.workers = workers;
  }

  /**
   * Starts dispatching.
   *
   * @param predecessor what the previous leader told when it handed over
   */
  void start(DispatchEvent.PredecessorHandedOver predecessor) {
    subscribeToDrains();
    handle(new DispatchEvent.RosterLoaded(workers));
    handle(predecessor);
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

  /** Starts no more runs: refuses the jobs that have not started and manages the others. */
  void handOver(String reason) {
    handleImmediately(new DispatchEvent.HandOverStarted(reason));
  }

  /** Returns whether the workers were found free of other leaders' runs. */
  boolean usesWorkers() {
    return dispatcher.usesWorkers();
  }

  /** Returns the workers on which no lease of another leader is left. */
  Set<String> workersWithoutForeignLease() {
    return dispatcher.workersWithoutForeignLease();
  }

  /** Returns the jobs that may have active runs. */
  Set<JobId> possiblyRunningJobs() {
    return dispatcher.possiblyRunningJobs();
  }

  /** Abandons all jobs, notifies the hosts that wait for them, and closes this leadership. */
  void endTerm(String reason) {
    handleImmediately(new DispatchEvent.TermEnded(reason));
    close();
  }

  @Override
  void executeOther(DispatchAction action) {
    // Nothing is persisted without the store, and calls about durable jobs are not sent here.
  }
}
