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
 * An entry host: its listeners, its part in the partition, and the callers' open jobs.
 *
 * <p>All parts run on one I/O thread; {@link #drain} and {@link #close} may be called from any.
 */
public final class EntryNode implements AutoCloseable {

  private static final long STORE_TIMEOUT_MILLIS = 500;
  private static final long RENEW_WAIT_MILLIS = 250;
  private static final long JOBS_TICK_MILLIS = 50;
  private static final long SUSPECT_MICROS = 450_000;
  private static final long CONTACT_MICROS = 600_000;
  private static final long START_MICROS = 400_000;
  private static final long RECORD_START_MICROS = 200_000;

  /** What clocks, the ends of runs and late heartbeats may add to the time that a lease lasts. */
  private static final long LEASE_MARGIN_MICROS = 300_000;

  private static final long RANK_MICROS = 30_000;
  private static final long LEASE_SLACK_MILLIS = 20;
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int MAX_BODY_BYTES = 1 << 20;

  /** How long after a stop signal new connections may still arrive. */
  private static final long LAST_CONNECTIONS_MILLIS = 2_300;

  /** What is kept of the time for a shutdown, for the answers to leave. */
  private static final long DRAIN_RESERVE_MILLIS = 700;

  private static final long DRAIN_LOOK_MILLIS = 50;

  private final NodeSettings settings;
  private final XnioWorker worker;
  private final EventLoop loop;
  private final FrameNetwork network;
  private final Undertow http;
  private final LeaderTracker reach = new LeaderTracker();
  private final OpenJobs jobs;
  private final JobCalls calls;
  private final ConfigWatch config = new ConfigWatch();
  private final DrainedDomains drained = new DrainedDomains();
  private final NodeMetrics metrics = new NodeMetrics();
  private final HostRegistration storeLink;
  private final PartitionMember partition;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean draining;

  private EntryNode(NodeSettings settings) throws IOException {
    this.settings = settings;
    this.jobs = new OpenJobs(reach, settings.scheduling());
    this.worker = createWorker();
    this.loop = new EventLoop(worker.getIoThread());
    HttpCaller caller = new HttpCaller(worker);
    KeyValueClient store = new KeyValueClient(settings.store(), caller, STORE_TIMEOUT_MILLIS);
    PlatformWorkerClient workerCalls = new PlatformWorkerClient(caller);
    long incarnation = System.currentTimeMillis();
    this.calls = new JobCalls(reach, incarnation);
    ElectionTimeouts times =
        new ElectionTimeouts(
            SUSPECT_MICROS, CONTACT_MICROS, START_MICROS, RECORD_START_MICROS, RANK_MICROS);
    Election election = new Election(settings.host(), incarnation, times, EventLoop.now());
    PartitionMember[] made = new PartitionMember[1];
    StoreHealth health = new StoreHealth();
    this.storeLink =
        new HostRegistration(
            store,
            loop,
            health,
            settings.host(),
            incarnation,
            settings.listen().peers(),
            settings.failureDomain(),
            HostCapacity.of(settings.limits().cores(), settings.limits().linkMbps()),
            event -> made[0].handle(event));
    DispatchPolicy policy =
        new DispatchPolicy(
                settings.leaseMillis() - LEASE_SLACK_MILLIS,
                settings.farFactor(),
                RENEW_WAIT_MILLIS,
                settings.keepMillis())
            .withScheduling(settings.scheduling());
    IsolatedDomainMember[] madeDomain = new IsolatedDomainMember[1];
    IsolatedDomainMember domain =
        new IsolatedDomainMember(
            settings.host(),
            loop,
            new DomainElection(settings.host(), times, EventLoop.now()),
            new DomainStateTransfer(election, storeLink, config),
            storeLink,
            reach,
            jobs,
            drained,
            new SuspensionDetector(),
            handedOver ->
                new DomainLeadership(
                    election.knownTerm(),
                    handedOver ? policy.forDomainSuccessor() : policy.forDomain(),
                    madeDomain[0].workers(),
                    drained,
                    loop,
                    workerCalls,
                    metrics,
                    new Leadership.Permissions(madeDomain[0]::mayOrder, madeDomain[0]::mayStart),
                    (host, answer) -> madeDomain[0].deliver(host, answer),
                    reason -> madeDomain[0].requestStepDown(reason)));
    madeDomain[0] = domain;
    this.partition =
        new PartitionMember(
            settings.host(),
            loop,
            election,
            storeLink,
            health,
            config,
            drained,
            reach,
            jobs,
            this.calls,
            domain,
            lead ->
                new PartitionLeadership(
                    lead.term(),
                    policy,
                    earlierRunsOverAt(lead.previousLeaderStopped()),
                    EventLoop.epochMillis(),
                    drained,
                    loop,
                    store,
                    health,
                    workerCalls,
                    metrics,
                    new Leadership.Permissions(made[0]::mayOrder, made[0]::mayStart),
                    (host, answer) -> made[0].deliver(host, answer),
                    workers -> made[0].workersListed(workers),
                    storeLink::domainOf,
                    reason -> made[0].handle(new ElectionEvent.StepDownRequired(reason))));
    made[0] = partition;
    metrics.gauge("marjoramhoist.jobs.open", jobs::count);
    metrics.gauge("marjoramhoist.leader", () -> partition.isLeader() ? 1 : 0);
    metrics.gauge("marjoramhoist.config.version", () -> config.current().version());
    metrics.gauge("marjoramhoist.drain.revision", drained::revision);
    metrics.gauge("marjoramhoist.store.up", () -> health.isAvailable() ? 1 : 0);
    this.network = new FrameNetwork(worker, HostPort.parse(settings.listen().peers()), partition);
    this.http = http();
    PrefixWatch operator =
        new PrefixWatch(store, StoreDocuments.OPERATOR_PREFIX, loop, health, drained, config);
    loop.execute(
        () -> {
          drained.subscribe(metrics::drained);
          partition.start(network);
          storeLink.start();
          operator.start();
          loop.scheduleWithFixedDelay(JOBS_TICK_MILLIS, this::tick);
        });
  }

  /**
   * Returns when no run that an earlier leader ordered can be at work out of sight: a leader whose
   * process is gone renews nothing, another one steps down once it is out of contact.
   */
  private long earlierRunsOverAt(boolean earlierGone) {
    long lease = EventLoop.millisToMicros(settings.leaseMillis()) + LEASE_MARGIN_MICROS;
    return EventLoop.now() + lease + (earlierGone ? 0 : CONTACT_MICROS);
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

  private Undertow http() {
    HttpHandler front =
        new FrontApi(config, jobs, calls, metrics, partition::waitingJobs, () -> draining);
    HttpHandler ready =
        exchange -> {
          exchange.setStatusCode(isReady() ? 200 : 503);
          exchange.endExchange();
        };
    InetSocketAddress callers = HostPort.parse(settings.listen().callers());
    InetSocketAddress checks = HostPort.parse(settings.listen().ready());
    Undertow.Builder builder =
        Undertow.builder()
            .setWorker(worker)
            .setBufferSize(BUFFER_BYTES)
            .setDirectBuffers(true)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_BODY_BYTES)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
            .addHttpListener(callers.getPort(), callers.getHostString(), front)
            .addHttpListener(checks.getPort(), checks.getHostString(), ready);
    if (!settings.listen().metrics().isEmpty()) {
      InetSocketAddress scrapes = HostPort.parse(settings.listen().metrics());
      builder.addHttpListener(
          scrapes.getPort(),
          scrapes.getHostString(),
          exchange -> exchange.getResponseSender().send(metrics.scrape()));
    }
    Undertow server = builder.build();
    server.start();
    return server;
  }

  /** Tells whether this host leads; may be out of date at once. */
  public boolean isLeader() {
    return partition.isLeader();
  }

  private boolean isReady() {
    return !draining && config.isKnown() && reach.isReady();
  }

  private void tick() {
    jobs.tick();
    calls.tick();
    partition.dropSilentLeader();
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

  /** Hands over, answers what is open, and returns once nothing is or the time is over. */
  public void drain() {
    EventLog.info(LogEvent.PROCESS_STOPPING, "host={}", settings.host());
    draining = true;
    CountDownLatch drained = new CountDownLatch(1);
    long begin = EventLoop.now();
    loop.execute(
        () -> {
          partition.beginShutdown();
          awaitDrained(begin, drained);
        });
    try {
      if (!drained.await(settings.drainMillis(), TimeUnit.MILLISECONDS)) {
        EventLog.warn(LogEvent.DRAIN_INCOMPLETE, "host={}", settings.host());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitDrained(long begin, CountDownLatch drained) {
    long elapsed = EventLoop.now() - begin;
    boolean mayEnd =
        elapsed > EventLoop.millisToMicros(LAST_CONNECTIONS_MILLIS)
            && jobs.count() + calls.count() == 0;
    if (mayEnd
        || elapsed > EventLoop.millisToMicros(settings.drainMillis() - DRAIN_RESERVE_MILLIS)) {
      jobs.abandonAll();
      calls.abandonAll();
      storeLink.leave();
      loop.schedule(DRAIN_LOOK_MILLIS, drained::countDown);
    } else {
      loop.schedule(DRAIN_LOOK_MILLIS, () -> awaitDrained(begin, drained));
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
    worker.shutdownNow();
    EventLog.info(LogEvent.PROCESS_STOPPED, "host={}", settings.host());
  }
}
