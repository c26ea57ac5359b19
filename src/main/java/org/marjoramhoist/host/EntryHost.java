package org.marjoramhoist.host;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.GracefulShutdownHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.marjoramhoist.config.Settings;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.decision.HostCore;
import org.marjoramhoist.decision.Policy;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.Listening;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.Faults;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.peer.Hello;
import org.marjoramhoist.peer.PeerEvents;
import org.marjoramhoist.peer.PeerNetwork;
import org.marjoramhoist.peer.SocketMaker;
import org.marjoramhoist.platform.EtcdStore;
import org.marjoramhoist.supervise.DaemonTimer;
import org.marjoramhoist.supervise.Part;
import org.marjoramhoist.supervise.RestartPolicy;
import org.marjoramhoist.supervise.Supervisor;
import org.marjoramhoist.upstream.WorkerClient;

/**
 * One running entry host: a supervisor of the loop, the timer, the connections and the listeners.
 *
 * <p>Safe for use by several threads.
 */
public final class EntryHost implements AutoCloseable {

  private static final long TICK_MILLIS = 25;
  private static final int TICKS_UNTIL_IDLE = 40;
  private static final int IDLE_TICK_INTERVAL = 4;
  private static final int WORKER_IO_THREADS = 2;
  private static final int LISTENER_IO_THREADS = 2;
  private static final int HEADER_BYTES = 16 * 1024;
  private static final int IDLE_MILLIS = 60_000;
  private static final long MIN_RESPONSE_MILLIS = 100;
  private static final int SLOW_BODY_MILLIS = 30_000;

  private final Settings settings;
  private final HostRef self;
  private final Supervisor supervisor;
  private final ScheduledExecutorService timer;
  private final CoreLoop loop;
  private final Requests requests;
  private final EtcdStore store;
  private final StoreAdapter storeAdapter;
  private final WorkerClient workers;
  private final ConfigFeed feed = new ConfigFeed();
  private final Metrics metrics = new Metrics();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile PeerNetwork network;
  private volatile GracefulShutdownHandler callers;
  private volatile boolean draining;
  private int idleTicks;

  private EntryHost(Settings settings, HostRef self, LongSupplier clock) {
    this.settings = settings;
    this.self = self;
    this.supervisor = new Supervisor(settings.host().value());
    this.timer = DaemonTimer.create("timer");
    Policy policy = policy(settings, self);
    long settle = settings.peers().isEmpty() ? 0 : policy.deadAfter();
    HostCore core = new HostCore(policy, clock.getAsLong() + settle);
    this.loop = new CoreLoop(core, clock, this::run);
    this.requests = new Requests(timer, loop::tryPublish, loop::publish);
    this.store =
        new EtcdStore(
            settings.store().endpoints(),
            new HttpCaller("store", 1),
            settings.store().callsPerSecond());
    this.storeAdapter = new StoreAdapter(store, self, loop::publish);
    this.workers = new WorkerClient(new HttpCaller("workers", WORKER_IO_THREADS), loop::publish);
  }

  /**
   * Starts a host.
   *
   * @param settings its settings
   * @throws Exception if a part can't be started; what was started is stopped again
   */
  public static EntryHost start(Settings settings) throws Exception {
    SystemClock clock = new SystemClock();
    HostRef self = new HostRef(settings.host(), clock.getAsLong());
    EntryHost host = new EntryHost(settings, self, clock);
    try {
      host.startParts();
    } catch (Exception | Error e) {
      host.close();
      throw e;
    }
    EventLog.info(LogEvent.PROCESS_STARTED, "host={} domain={}", self, settings.domain());
    return host;
  }

  private static Policy policy(Settings settings, HostRef self) {
    Settings.Timing timing = settings.timing();
    Settings.Limits limits = settings.limits();
    Policy base = Policy.of(self, settings.listen().peers(), settings.domain(), settings.domains());
    return new Policy(
        self,
        settings.listen().peers(),
        settings.domain(),
        settings.domains(),
        limits.shardsPerDomain(),
        timing.heartbeatMillis() * Policy.MICROS_PER_MILLI,
        timing.remoteHeartbeatMillis() * Policy.MICROS_PER_MILLI,
        timing.suspectMillis() * Policy.MICROS_PER_MILLI,
        timing.deadMillis() * Policy.MICROS_PER_MILLI,
        timing.claimMillis() * Policy.MICROS_PER_MILLI,
        timing.resubmitGraceMillis() * Policy.MICROS_PER_MILLI,
        limits.maxDeadlineMillis() * Policy.MICROS_PER_MILLI,
        limits.maxQueuedTasks(),
        base.maxClaimsPerShard(),
        base.maxAnswerBytes(),
        base.maxAccountRows(),
        base.accountInterval());
  }

  private void startParts() throws Exception {
    supervisor.add(
        "loop",
        RestartPolicy.NEVER,
        () -> {
          loop.start();
          return Part.of(loop::close);
        });
    supervisor.add(
        "adapters",
        RestartPolicy.NEVER,
        () ->
            Part.of(
                () -> {
                  workers.close();
                  store.close();
                }));
    supervisor.add("ticks", RestartPolicy.STATELESS, this::startTicks);
    supervisor.add("peers", RestartPolicy.STATELESS, this::startPeers);
    supervisor.add("registry", RestartPolicy.STATELESS, this::startRegistry);
    addGauges();
    supervisor.add(
        "operators",
        RestartPolicy.STATELESS,
        () -> {
          OperatorApi api =
              new OperatorApi(settings, requests, loop::publish, feed, store, metrics);
          return listener(settings.listen().operators(), new GracefulShutdownHandler(api));
        });
    supervisor.add(
        "callers",
        RestartPolicy.STATELESS,
        () -> {
          CallerApi api =
              new CallerApi(settings, requests, loop::publish, feed::view, this::isReady, metrics);
          callers = new GracefulShutdownHandler(api);
          return listener(settings.listen().callers(), callers);
        });
  }

  private void addGauges() {
    metrics.gauge("marjoramhoist.config.revision", () -> feed.view().revision());
    metrics.gauge("marjoramhoist.store.calls", store::callCount);
    metrics.gauge("marjoramhoist.store.up", () -> storeAdapter.isUp() ? 1 : 0);
    metrics.gauge("marjoramhoist.requests.open", requests::size);
    metrics.gauge("marjoramhoist.peer.messages.dropped", () -> network.droppedCount());
    metrics.gauge("marjoramhoist.parts.restarted", supervisor::restartCount);
  }

  private Part startTicks() {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    var ticks =
        timer.scheduleAtFixedRate(
            () -> {
              try {
                tick();
              } catch (Throwable e) {
                ended.completeExceptionally(e);
                Faults.report("tick", e);
              }
            },
            TICK_MILLIS,
            TICK_MILLIS,
            TimeUnit.MILLISECONDS);
    return Part.of(ended, () -> ticks.cancel(false));
  }

  /** Ticks each time while there is work, and less often while there is none. */
  private void tick() {
    idleTicks = loop.wasActive() ? 0 : idleTicks + 1;
    if (idleTicks < TICKS_UNTIL_IDLE || idleTicks % IDLE_TICK_INTERVAL == 0) {
      loop.publish(new Event.Tick());
    }
  }

  private Part startPeers() throws IOException {
    String layout = settings.domains() + "x" + settings.limits().shardsPerDomain();
    Hello hello =
        new Hello(
            Hello.PROTOCOL,
            Hello.MIN_PROTOCOL,
            self,
            settings.listen().peers(),
            settings.domain().value(),
            layout);
    PeerNetwork started = new PeerNetwork(hello, new Incoming(loop::publish), SocketMaker.PLAIN);
    network = started;
    settings.peers().forEach(started::dial);
    return Part.of(started::close);
  }

  private Part startRegistry() {
    HostRegistry registry = new HostRegistry(store, self, settings.listen().peers(), network::dial);
    var beats =
        timer.scheduleWithFixedDelay(
            registry::renew, 0, HostRegistry.RENEW_SECONDS, TimeUnit.SECONDS);
    return Part.of(() -> beats.cancel(false));
  }

  private Part listener(String address, HttpHandler handler) throws IOException {
    InetSocketAddress listen = HostPort.parse(address);
    Undertow server =
        Undertow.builder()
            .addHttpListener(listen.getPort(), listen.getHostString())
            .setIoThreads(LISTENER_IO_THREADS)
            .setWorkerThreads(1)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, HEADER_BYTES)
            .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_MILLIS)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, SLOW_BODY_MILLIS)
            .setServerOption(UndertowOptions.MAX_CONCURRENT_REQUESTS_PER_CONNECTION, 1)
            .setHandler(handler)
            .build();
    Listening.at(
        listen,
        () -> {
          server.start();
          return server;
        });
    return Part.of(server::stop);
  }

  private boolean isReady() {
    return !draining && feed.view().revision() > 0;
  }

  /** Turns what connections tell into events. */
  private record Incoming(Consumer<Event> events) implements PeerEvents {
    @Override
    public void linkUp(HostRef host, String address, String domain) {
      events.accept(new Event.LinkUp(host, address, domain));
    }

    @Override
    public void linkLost(HostId host) {
      events.accept(new Event.LinkLost(host));
    }

    @Override
    public void received(HostRef from, PeerMessage message) {
      events.accept(new Event.Received(from, message));
    }
  }

  private void run(List<Action> actions) {
    for (Action action : actions) {
      if (!runOutward(action)) {
        runInward(action);
      }
    }
  }

  private boolean runOutward(Action action) {
    if (action instanceof Action.Start a) {
      workers.start(a);
    } else if (action instanceof Action.Send a) {
      network.send(a.to(), a.message());
    } else if (action instanceof Action.Settle a) {
      workers.settle(a);
    } else if (action instanceof Action.Abort a) {
      workers.abort(a);
    } else if (action instanceof Action.ReadShard a) {
      storeAdapter.readShard(a);
    } else if (action instanceof Action.WriteShard a) {
      storeAdapter.writeShard(a);
    } else if (action instanceof Action.LogClaims a) {
      storeAdapter.logClaims(a);
    } else if (action instanceof Action.WatchConfig a) {
      storeAdapter.watchConfig(a);
    } else if (action instanceof Action.WriteAccounts a) {
      storeAdapter.writeAccounts(a);
    } else if (action instanceof Action.Dial a) {
      network.dial(a.address());
    } else {
      return false;
    }
    return true;
  }

  private void runInward(Action action) {
    if (action instanceof Action.Reply a) {
      requests.answer(a.request(), a.answer());
    } else if (action instanceof Action.ReplyTicket a) {
      requests.answer(a.request(), a.ticket());
    } else if (action instanceof Action.ReplyStatus a) {
      requests.answer(a.request(), a.status());
    } else if (action instanceof Action.Observe a) {
      metrics.observe(a.observation());
    } else if (action instanceof Action.CountWaste a) {
      metrics.waste(a.kind());
    } else if (action instanceof Action.ConfigInForce a) {
      feed.set(a.view());
    } else if (action instanceof Action.Log a) {
      log(a);
    } else if (action instanceof Action.Drained) {
      drained.complete(null);
    }
  }

  private void log(Action.Log action) {
    metrics.event(action.event().name());
    if (DecisionLog.isFrequent(action.event())) {
      EventLog.debug(action.event(), "{}", action.detail());
    } else {
      EventLog.info(action.event(), "{}", action.detail());
    }
  }

  /** Returns this incarnation. */
  public HostRef self() {
    return self;
  }

  /** Returns the addresses of the listeners. */
  public Settings.Listen listen() {
    return settings.listen();
  }

  /** Returns a future that completes with the name of a part that has failed too often. */
  public CompletableFuture<String> gaveUp() {
    return supervisor.gaveUp();
  }

  /**
   * Stops in an orderly way: takes nothing new, ends what is in flight, hands claims over and
   * writes the accounts.
   *
   * @return whether all was done before the drain deadline
   */
  public boolean drain() {
    draining = true;
    EventLog.info(LogEvent.PROCESS_STOPPING, "host={}", self);
    loop.publish(new Event.DrainAsked());
    try {
      drained.get(settings.timing().drainMillis(), TimeUnit.MILLISECONDS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      EventLog.warn(LogEvent.DRAIN_INCOMPLETE, "host={} cause={}", self, e.toString());
    }
    return false;
  }

  /**
   * Drains, waits until the callers have their whole responses, and closes; new requests are
   * refused meanwhile.
   */
  public void stop() {
    long deadline =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.timing().drainMillis());
    drain();
    callers.shutdown();
    try {
      long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (!callers.awaitShutdown(Math.max(MIN_RESPONSE_MILLIS, left))) {
        EventLog.warn(LogEvent.DRAIN_INCOMPLETE, "host={} cause=open responses", self);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    close();
  }

  /** Stops at once; what is in flight is cut short. */
  @Override
  public void close() {
    supervisor.close();
    timer.shutdownNow();
    EventLog.info(LogEvent.PROCESS_STOPPED, "host={}", self);
  }
}
