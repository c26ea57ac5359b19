package org.marjoramhoist.entry;

import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.connection.ConnectionGroup;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.lead.DomainElection;
import org.marjoramhoist.lead.DomainExclusivity;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.ElectionEvent;
import org.marjoramhoist.lead.ElectionTimeouts;
import org.marjoramhoist.lead.GracefulShutdown;
import org.marjoramhoist.lead.HostCapacity;
import org.marjoramhoist.listener.Connections;
import org.marjoramhoist.listener.HeadForm;
import org.marjoramhoist.listener.HttpListener;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.peer.FrameNetwork;
import org.marjoramhoist.platform.JobBodies;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.PlatformWorkerClient;
import org.marjoramhoist.platform.StoreDocuments;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * An entry host: its listeners, its role in the partition, and the open jobs of its callers.
 *
 * <p>All components run on one I/O thread; {@link #drain} and {@link #close} may be called from any
 * thread.
 */
public final class EntryNode implements AutoCloseable {

  private static final long STORE_TIMEOUT_MILLIS = 500;
  private static final long MAX_RENEW_WAIT_MILLIS = 250;
  private static final long TICK_INTERVAL_MILLIS = 50;
  private static final long CONNECTIONS_TICK_MILLIS = 250;
  private static final HeadForm CALLERS_FORM =
      new HeadForm(Set.of(JobBodies.DEADLINE_HEADER_NAME), false);
  private static final HeadForm CHECKS_FORM = new HeadForm(Set.of(), false);
  private static final long SUSPICION_TIMEOUT_MICROS = 450_000;
  private static final long CONTACT_TIMEOUT_MICROS = 600_000;
  private static final long START_TIMEOUT_MICROS = 400_000;
  private static final long RECORD_START_TIMEOUT_MICROS = 200_000;

  /**
   * Added to the lease duration to cover clock differences, the termination of runs, and late
   * heartbeats.
   */
  private static final long LEASE_MARGIN_MICROS = 300_000;

  private static final long RANK_DELAY_MICROS = 30_000;

  /** Keeps leases below the platform's limit despite the error of the estimated worker clocks. */
  private static final long LEASE_SLACK_MILLIS = 20;

  private final NodeSettings settings;
  private final XnioWorker worker;
  private final EventLoop loop;
  private final FrameNetwork network;
  private final Connections connections;
  private final HttpListener readiness;
  private final Optional<HttpListener> metricsListener;
  private final LeaderTracker leaderTracker = new LeaderTracker();
  private final OpenJobs jobs;
  private final JobCalls calls;
  private final GracefulShutdown shutdown = new GracefulShutdown();
  private final HttpListener callers;
  private final HostShutdown hostShutdown;
  private final ConfigWatch config = new ConfigWatch();
  private final DrainedDomains drainedDomains = new DrainedDomains();
  private final NodeMetrics metrics = new NodeMetrics();
  private final HostRegistration registration;
  private final PartitionMember member;
  private final AtomicBoolean closed = new AtomicBoolean();

  private EntryNode(NodeSettings settings) throws IOException {
    this.settings = settings;
    this.worker = createWorker();
    this.loop = new EventLoop(worker.getIoThread());
    long incarnation = System.currentTimeMillis();
    SubmissionNumbers numbers = new SubmissionNumbers(incarnation);
    RecentResults results = new RecentResults();
    this.jobs = new OpenJobs(leaderTracker, settings.scheduling(), numbers, results);
    this.calls = new JobCalls(leaderTracker, incarnation, results);
    HttpCaller caller = new HttpCaller(worker);
    KeyValueClient store = new KeyValueClient(settings.store(), caller, STORE_TIMEOUT_MILLIS);
    PlatformWorkerClient workerClient = new PlatformWorkerClient(caller);
    ElectionTimeouts timeouts =
        new ElectionTimeouts(
            SUSPICION_TIMEOUT_MICROS,
            CONTACT_TIMEOUT_MICROS,
            START_TIMEOUT_MICROS,
            RECORD_START_TIMEOUT_MICROS,
            RANK_DELAY_MICROS);
    Election election = new Election(settings.host(), incarnation, timeouts, EventLoop.now());
    PartitionMember[] memberRef = new PartitionMember[1];
    StoreHealth health = new StoreHealth();
    this.registration =
        new HostRegistration(
            store,
            loop,
            health,
            settings.host(),
            incarnation,
            settings.listen().peers(),
            settings.failureDomain(),
            HostCapacity.of(settings.limits().cores(), settings.limits().linkMbps()),
            event -> memberRef[0].handle(event));
    DispatchPolicy policy =
        new DispatchPolicy(
                settings.leaseMillis() - LEASE_SLACK_MILLIS,
                settings.farFactor(),
                MAX_RENEW_WAIT_MILLIS,
                settings.keepMillis())
            .withScheduling(settings.scheduling());
    IsolatedDomainMember[] domainMemberRef = new IsolatedDomainMember[1];
    IsolatedDomainMember domainMember =
        new IsolatedDomainMember(
            settings.host(),
            loop,
            new DomainElection(settings.host(), timeouts, EventLoop.now()),
            new DomainStateTransfer(election, registration, config),
            registration,
            leaderTracker,
            jobs,
            drainedDomains,
            new SuspensionDetector(),
            runMicros(),
            handedOver ->
                new DomainLeadership(
                    election.knownTerm(),
                    handedOver ? policy.forDomainSuccessor() : policy.forDomain(),
                    domainMemberRef[0].workers(),
                    drainedDomains,
                    loop,
                    workerClient,
                    metrics,
                    new Leadership.Permissions(
                        domainMemberRef[0]::mayOrder,
                        domainMemberRef[0]::mayStart,
                        domainMemberRef[0]::sharedDomains),
                    (host, reply) -> domainMemberRef[0].deliver(host, reply),
                    reason -> domainMemberRef[0].requestStepDown(reason)));
    domainMemberRef[0] = domainMember;
    this.member =
        new PartitionMember(
            settings.host(),
            loop,
            election,
            registration,
            health,
            config,
            drainedDomains,
            leaderTracker,
            jobs,
            this.calls,
            domainMember,
            () -> new DomainExclusivity(settings.host(), timeouts, runMicros()),
            lead ->
                new PartitionLeadership(
                    lead.term(),
                    policy,
                    previousRunsEndAt(lead.previousLeaderStopped()),
                    EventLoop.epochMillis(),
                    drainedDomains,
                    loop,
                    store,
                    health,
                    workerClient,
                    metrics,
                    new Leadership.Permissions(
                        memberRef[0]::mayOrder,
                        memberRef[0]::mayStart,
                        memberRef[0]::sharedDomains),
                    (host, reply) -> memberRef[0].deliver(host, reply),
                    workers -> memberRef[0].workersListed(workers),
                    registration::domainOf,
                    reason -> memberRef[0].handle(new ElectionEvent.StepDownRequired(reason))));
    memberRef[0] = member;
    metrics.gauge("marjoramhoist.jobs.open", jobs::count);
    metrics.gauge("marjoramhoist.stopping", () -> shutdown.hasStarted() ? 1 : 0);
    metrics.gauge("marjoramhoist.leader", () -> member.isLeader() ? 1 : 0);
    metrics.gauge("marjoramhoist.config.version", () -> config.current().version());
    metrics.gauge("marjoramhoist.drain.revision", drainedDomains::revision);
    metrics.gauge("marjoramhoist.store.up", () -> health.isAvailable() ? 1 : 0);
    this.connections = new Connections(settings.clients(), () -> config.current().limits());
    ClientMetrics.register(metrics, connections);
    metrics.gauge("marjoramhoist.log.lines.left.out", EventLog::leftOutLines);
    this.network =
        new FrameNetwork(worker, HostPort.parse(settings.listen().peers()), connections, member);
    OpenExchanges exchanges = new OpenExchanges();
    metrics.gauge("marjoramhoist.exchanges.open", exchanges::count);
    JobHttpHandler jobHandler =
        new JobHttpHandler(config, jobs, calls, metrics, member::waitingJobs, shutdown);
    this.callers =
        new HttpListener(
            worker,
            connections,
            ConnectionGroup.CALLERS,
            CALLERS_FORM,
            HostPort.parse(settings.listen().callers()),
            exchanges.counting(jobHandler));
    this.hostShutdown =
        new HostShutdown(
            loop,
            shutdown,
            callers,
            exchanges,
            jobs,
            calls,
            jobHandler::refuseStopping,
            member::awaitsSuccessor,
            registration::deregister);
    this.readiness =
        checkListener(
            settings.listen().ready(),
            exchange -> {
              exchange.setStatusCode(isReady() ? 200 : 503);
              exchange.endExchange();
            });
    this.metricsListener =
        settings.listen().metrics().isEmpty()
            ? Optional.empty()
            : Optional.of(
                checkListener(
                    settings.listen().metrics(),
                    exchange -> exchange.getResponseSender().send(metrics.scrape())));
    PrefixWatch operatorWatch =
        new PrefixWatch(
            store, StoreDocuments.OPERATOR_PREFIX, loop, health, drainedDomains, config);
    loop.execute(
        () -> {
          drainedDomains.subscribe(metrics::setDrainedDomains);
          member.start(network);
          registration.start();
          operatorWatch.start();
          loop.scheduleWithFixedDelay(TICK_INTERVAL_MILLIS, this::tick);
          loop.scheduleWithFixedDelay(CONNECTIONS_TICK_MILLIS, connections::tick);
        });
  }

  /**
   * Returns the time after which no run that a previous leader started can still be running on an
   * unreachable worker. A leader whose process has exited renews no leases; any other leader may
   * renew them until it steps down, at the latest when its contact timeout expires.
   */
  private long previousRunsEndAt(boolean previousLeaderStopped) {
    return EventLoop.now() + runMicros() + (previousLeaderStopped ? 0 : CONTACT_TIMEOUT_MICROS);
  }

  /** Returns how long a run may go on after the last order of its leader. */
  private long runMicros() {
    return EventLoop.millisToMicros(settings.leaseMillis()) + LEASE_MARGIN_MICROS;
  }

  private static XnioWorker createWorker() throws IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_NAME, "entry")
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .set(Options.THREAD_DAEMON, true)
                .getMap());
  }

  private HttpListener checkListener(String address, HttpHandler handler) throws IOException {
    return new HttpListener(
        worker, connections, ConnectionGroup.CHECKS, CHECKS_FORM, HostPort.parse(address), handler);
  }

  /**
   * Returns whether this host currently leads the partition; the result may already be outdated.
   */
  public boolean isLeader() {
    return member.isLeader();
  }

  private boolean isReady() {
    return !shutdown.hasStarted() && config.isKnown() && leaderTracker.isReady();
  }

  private void tick() {
    jobs.tick();
    calls.tick();
    member.dropUnreachableLeader();
  }

  /**
   * Starts a host.
   *
   * @throws IOException if a listener can't be opened
   */
  public static EntryNode start(NodeSettings settings) throws IOException {
    EntryNode node = new EntryNode(settings);
    EventLog.info(
        LogEvent.PROCESS_STARTED,
        "host={} failureDomain={}",
        settings.host(),
        settings.failureDomain());
    return node;
  }

  /**
   * Hands over leadership and completes open requests. Returns when nothing more is read from
   * callers or the drain timeout expires; also if it was called before.
   */
  public void drain() {
    EventLog.info(LogEvent.PROCESS_STOPPING, "host={}", settings.host());
    long endBy = EventLoop.now() + EventLoop.millisToMicros(settings.drainMillis());
    loop.execute(
        () -> {
          member.beginShutdown();
          hostShutdown.start(endBy);
        });
    try {
      if (!hostShutdown.completed().await(settings.drainMillis(), TimeUnit.MILLISECONDS)) {
        EventLog.warn(LogEvent.DRAIN_INCOMPLETE, "host={}", settings.host());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    loop.close();
    callers.close();
    network.close();
    readiness.close();
    metricsListener.ifPresent(HttpListener::close);
    worker.shutdownNow();
    EventLog.info(LogEvent.PROCESS_STOPPED, "host={}", settings.host());
  }
}
