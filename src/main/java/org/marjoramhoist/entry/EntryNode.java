package org.marjoramhoist.entry;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.lead.DomainElection;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.ElectionEvent;
import org.marjoramhoist.lead.ElectionTimeouts;
import org.marjoramhoist.lead.HostCapacity;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.peer.FrameNetwork;
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

  private static final int HTTP_BUFFER_BYTES = 8 * 1024;
  private static final int MAX_REQUEST_BODY_BYTES = 1 << 20;

  /** How long new connections may still arrive after a stop signal. */
  private static final long NEW_CONNECTIONS_GRACE_MILLIS = 2_300;

  /** The part of the shutdown time that is reserved for sending the last responses. */
  private static final long RESPONSE_RESERVE_MILLIS = 700;

  private static final long DRAIN_POLL_INTERVAL_MILLIS = 50;

  private final NodeSettings settings;
  private final XnioWorker worker;
  private final EventLoop loop;
  private final FrameNetwork network;
  private final Undertow http;
  private final LeaderTracker leaderTracker = new LeaderTracker();
  private final OpenJobs jobs;
  private final JobCalls calls;
  private final OpenExchanges exchanges;
  private final ConfigWatch config = new ConfigWatch();
  private final DrainedDomains drainedDomains = new DrainedDomains();
  private final NodeMetrics metrics = new NodeMetrics();
  private final HostRegistration registration;
  private final PartitionMember member;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean draining;

  /** When the stop began, in microseconds on the monotonic clock; 0 while the host runs. */
  private volatile long stopStartedAt;

  private EntryNode(NodeSettings settings) throws IOException {
    this.settings = settings;
    this.jobs = new OpenJobs(leaderTracker, settings.scheduling());
    this.worker = createWorker();
    this.loop = new EventLoop(worker.getIoThread());
    HttpCaller caller = new HttpCaller(worker);
    KeyValueClient store = new KeyValueClient(settings.store(), caller, STORE_TIMEOUT_MILLIS);
    PlatformWorkerClient workerClient = new PlatformWorkerClient(caller);
    long incarnation = System.currentTimeMillis();
    this.calls = new JobCalls(leaderTracker, incarnation);
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
                        domainMemberRef[0]::mayOrder, domainMemberRef[0]::mayStart),
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
                    new Leadership.Permissions(memberRef[0]::mayOrder, memberRef[0]::mayStart),
                    (host, reply) -> memberRef[0].deliver(host, reply),
                    workers -> memberRef[0].workersListed(workers),
                    registration::domainOf,
                    reason -> memberRef[0].handle(new ElectionEvent.StepDownRequired(reason))));
    memberRef[0] = member;
    metrics.gauge("marjoramhoist.jobs.open", jobs::count);
    metrics.gauge("marjoramhoist.stopping", () -> draining ? 1 : 0);
    metrics.gauge("marjoramhoist.leader", () -> member.isLeader() ? 1 : 0);
    metrics.gauge("marjoramhoist.config.version", () -> config.current().version());
    metrics.gauge("marjoramhoist.drain.revision", drainedDomains::revision);
    metrics.gauge("marjoramhoist.store.up", () -> health.isAvailable() ? 1 : 0);
    this.network = new FrameNetwork(worker, HostPort.parse(settings.listen().peers()), member);
    this.exchanges =
        new OpenExchanges(
            new JobHttpHandler(config, jobs, calls, metrics, member::waitingJobs, () -> draining));
    metrics.gauge("marjoramhoist.exchanges.open", exchanges::count);
    this.http = startHttpServer();
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
        });
  }

  /**
   * Returns the time after which no run that a previous leader started can still be running on an
   * unreachable worker. A leader whose process has exited renews no leases; any other leader may
   * renew them until it steps down, at the latest when its contact timeout expires.
   */
  private long previousRunsEndAt(boolean previousLeaderStopped) {
    long lease = EventLoop.millisToMicros(settings.leaseMillis()) + LEASE_MARGIN_MICROS;
    return EventLoop.now() + lease + (previousLeaderStopped ? 0 : CONTACT_TIMEOUT_MICROS);
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

  private Undertow startHttpServer() {
    HttpHandler readinessHandler =
        exchange -> {
          exchange.setStatusCode(isReady() ? 200 : 503);
          exchange.endExchange();
        };
    InetSocketAddress callerAddress = HostPort.parse(settings.listen().callers());
    InetSocketAddress readinessAddress = HostPort.parse(settings.listen().ready());
    Undertow.Builder builder =
        Undertow.builder()
            .setWorker(worker)
            .setBufferSize(HTTP_BUFFER_BYTES)
            .setDirectBuffers(true)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_REQUEST_BODY_BYTES)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
            .addHttpListener(callerAddress.getPort(), callerAddress.getHostString(), exchanges)
            .addHttpListener(
                readinessAddress.getPort(), readinessAddress.getHostString(), readinessHandler);
    if (!settings.listen().metrics().isEmpty()) {
      InetSocketAddress metricsAddress = HostPort.parse(settings.listen().metrics());
      builder.addHttpListener(
          metricsAddress.getPort(),
          metricsAddress.getHostString(),
          exchange -> exchange.getResponseSender().send(metrics.scrape()));
    }
    Undertow server = builder.build();
    server.start();
    return server;
  }

  /**
   * Returns whether this host currently leads the partition; the result may already be outdated.
   */
  public boolean isLeader() {
    return member.isLeader();
  }

  private boolean isReady() {
    return !draining && config.isKnown() && leaderTracker.isReady();
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
   * Hands over leadership and completes open jobs and calls. Returns when none is open or the drain
   * timeout expires.
   */
  public void drain() {
    EventLog.info(LogEvent.PROCESS_STOPPING, "host={}", settings.host());
    draining = true;
    CountDownLatch drainCompleted = new CountDownLatch(1);
    long startedAt = EventLoop.now();
    stopStartedAt = startedAt;
    loop.execute(
        () -> {
          exchanges.startTotals();
          member.beginShutdown();
          awaitDrained(startedAt, drainCompleted);
        });
    try {
      if (!drainCompleted.await(settings.drainMillis(), TimeUnit.MILLISECONDS)) {
        EventLog.warn(LogEvent.DRAIN_INCOMPLETE, "host={}", settings.host());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitDrained(long startedAt, CountDownLatch drainCompleted) {
    long elapsed = EventLoop.now() - startedAt;
    boolean isDrained =
        elapsed > EventLoop.millisToMicros(NEW_CONNECTIONS_GRACE_MILLIS)
            && jobs.count() + calls.count() == 0;
    if (isDrained
        || elapsed > EventLoop.millisToMicros(settings.drainMillis() - RESPONSE_RESERVE_MILLIS)) {
      jobs.abandonAll();
      calls.abandonAll();
      registration.deregister();
      loop.schedule(DRAIN_POLL_INTERVAL_MILLIS, drainCompleted::countDown);
    } else {
      loop.schedule(DRAIN_POLL_INTERVAL_MILLIS, () -> awaitDrained(startedAt, drainCompleted));
    }
  }

  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    loop.close();
    network.close();
    http.stop();
    if (stopStartedAt != 0) {
      long micros = EventLoop.now() - stopStartedAt;
      worker
          .getIoThread()
          .execute(
              () -> EventLog.info(LogEvent.REQUESTS_AT_STOP, "micros={} {}", micros, exchanges));
    }
    worker.shutdownNow();
    EventLog.info(LogEvent.PROCESS_STOPPED, "host={}", settings.host());
  }
}
