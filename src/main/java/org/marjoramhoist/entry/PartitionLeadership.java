package org.marjoramhoist.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.marjoramhoist.dispatch.DispatchAction;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.dispatch.Dispatcher;
import org.marjoramhoist.dispatch.JobCallKind;
import org.marjoramhoist.dispatch.ServedShares;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.JobCall;
import org.marjoramhoist.message.HostMessage.JobCallReply;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.KeyValueClient.Page;
import org.marjoramhoist.platform.PlatformWorkerClient;
import org.marjoramhoist.platform.WorkerEntries;

/**
 * Leadership of the partition. Besides dispatching, it reads the list of workers and maintains the
 * roster and the durable jobs in the store.
 *
 * <p>Confined to the event loop's thread.
 */
final class PartitionLeadership extends Leadership {

  private static final long WORKER_LIST_INTERVAL_MILLIS = 500;
  private static final long STATUS_INTERVAL_MILLIS = 1_000;

  /**
   * The delay before the stored jobs are read, unless a call about one arrives earlier. It lets a
   * new leader take over the active runs first.
   */
  private static final long JOB_LOAD_DELAY_MILLIS = 400;

  private final KeyValueClient store;
  private final StoreHealth health;
  private final JobStore jobStore;
  private final RosterStore rosterStore;
  private final WorkerList workerList;
  private final Consumer<List<WorkerInfo>> onWorkersListed;
  private final UnaryOperator<String> domainOf;
  private final long epochMillis;
  private boolean jobLoadStarted;

  /**
   * Creates a leadership.
   *
   * @param term the revision of the leader record that names this host
   * @param earlierRunsOverAt when no run that a previous leader started can still be running on an
   *     unreachable worker
   * @param epochMillis the Unix time in milliseconds at which the monotonic clock was 0
   * @param drained the drained failure domains, as far as this host knows
   * @param onWorkersListed receives the workers each time that their list was read
   * @param domainOf returns the failure domain of a host; empty if it is unknown
   * @param onSuperseded receives the reason if this host must stop leading
   */
  PartitionLeadership(
      long term,
      DispatchPolicy policy,
      long earlierRunsOverAt,
      long epochMillis,
      DrainedDomains drained,
      EventLoop loop,
      KeyValueClient store,
      StoreHealth health,
      PlatformWorkerClient workerClient,
      NodeMetrics metrics,
      Permissions permissions,
      Delivery delivery,
      Consumer<List<WorkerInfo>> onWorkersListed,
      UnaryOperator<String> domainOf,
      Consumer<String> onSuperseded) {
    super(
        term,
        new Dispatcher(policy, EventLoop.now(), earlierRunsOverAt, epochMillis),
        drained,
        loop,
        workerClient,
        metrics,
        permissions,
        delivery,
        onSuperseded);
    this.store = store;
    this.health = health;
    this.onWorkersListed = onWorkersListed;
    this.domainOf = domainOf;
    this.epochMillis = epochMillis;
    this.workerList = new WorkerList(metrics);
    this.jobStore = new JobStore(term, store, health, loop, this::handle, onSuperseded);
    this.rosterStore = new RosterStore(term, store, health, loop, this::handle, onSuperseded);
  }

  void start() {
    subscribeToDrains();
    loop.schedule(JOB_LOAD_DELAY_MILLIS, this::loadJobs);
    rosterStore.start();
    loop.schedule(STATUS_INTERVAL_MILLIS, this::reportStatus);
    listWorkers();
    tick();
  }

  private void reportStatus() {
    if (isClosed()) {
      return;
    }
    loop.schedule(STATUS_INTERVAL_MILLIS, this::reportStatus);
    boolean mayOrder = permissions.mayOrder().getAsBoolean();
    // Checking the permission may have ended this leadership.
    if (isClosed()) {
      return;
    }
    LeaderStatus status =
        new LeaderStatus(
            dispatcher.snapshot(EventLoop.now()), mayOrder, queuedEvents(), loopStats.takeSample());
    metrics.setLeaderStatus(status);
    EventLog.info(LogEvent.LEADER_STATUS, "term={} {}", term(), status);
    reportServedShares();
  }

  private void reportServedShares() {
    Map<ServedShares.CallerGroup, Double> shares = dispatcher.servedShares(EventLoop.now());
    metrics.setServedShares(shares);
    if (!shares.isEmpty()) {
      EventLog.info(LogEvent.SERVED_SHARES, "term={} {}", term(), ServedShares.describe(shares));
    }
  }

  /** Reads the stored jobs unless that was done before. */
  private void loadJobs() {
    if (!jobLoadStarted && !isClosed()) {
      jobLoadStarted = true;
      jobStore.start();
    }
  }

  @Override
  void handleEntryMessage(String host, HostMessage message) {
    if (message instanceof JobCall call) {
      loadJobs();
      handle(toEvent(host, call, EventLoop.now()));
    } else {
      super.handleEntryMessage(host, message);
    }
  }

  @Override
  String failureDomainOf(String host) {
    return domainOf.apply(host);
  }

  private DispatchEvent toEvent(String host, JobCall call, long now) {
    long arrivedAt = now - call.ageMicros();
    StoredJob record = null;
    if (call.kind() == JobCallKind.SUBMIT) {
      long acceptedMillis = epochMillis + TimeUnit.MICROSECONDS.toMillis(arrivedAt);
      record = new StoredJob(call.job(), call.requestClass(), acceptedMillis);
    }
    return new DispatchEvent.JobCallReceived(
        call.kind(),
        call.id(),
        record,
        host,
        call.call(),
        arrivedAt,
        call.sentCount(),
        call.heartbeatSentAt());
  }

  private void listWorkers() {
    if (!isClosed()) {
      store
          .readAll(WorkerEntries.PREFIX)
          .whenComplete((page, error) -> loop.execute(() -> workersListed(page, error)));
    }
  }

  private void workersListed(Page page, Throwable error) {
    if (isClosed()) {
      return;
    }
    loop.schedule(WORKER_LIST_INTERVAL_MILLIS, this::listWorkers);
    if (error != null) {
      health.recordFailure(error);
      return;
    }
    health.recordSuccess();
    List<WorkerInfo> workers = workerList.read(page.items());
    handle(new DispatchEvent.WorkersListed(workers));
    onWorkersListed.accept(workers);
  }

  @Override
  void executeOther(DispatchAction action) {
    if (action instanceof DispatchAction.Store changes) {
      jobStore.write(changes.batch());
    } else if (action instanceof DispatchAction.StoreRoster roster) {
      rosterStore.write(roster.change());
    } else if (action instanceof DispatchAction.Reply reply) {
      delivery.deliver(
          reply.entry(),
          new JobCallReply(
              reply.call(),
              reply.result(),
              reply.status(),
              reply.retryAfterMillis(),
              reply.sentCount()));
    }
  }

  @Override
  public void close() {
    super.close();
    metrics.setLeaderStatus(LeaderStatus.NONE);
    metrics.setServedShares(Map.of());
    jobStore.close();
    rosterStore.close();
  }
}
