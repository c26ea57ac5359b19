package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.marjoramhoist.dispatch.DispatchAction;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.Dispatcher;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.Faults;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.Submit;
import org.marjoramhoist.message.HostMessage.Withdraw;
import org.marjoramhoist.platform.PlatformWorkerClient;

/**
 * One term in which this host is leader: passes events to the {@link Dispatcher} and executes the
 * resulting actions.
 *
 * <p>While this host is out of contact and may have been replaced as leader, events are queued and
 * no orders are sent. After {@link #close} no events are handled and no orders are sent. Confined
 * to the event loop's thread.
 */
abstract class Leadership implements AutoCloseable {

  private static final long TICK_INTERVAL_MILLIS = 20;

  /**
   * Delivers the result of a job, or the reply to a call about one, to the host whose caller waits.
   */
  interface Delivery {
    void deliver(String host, HostMessage answer);
  }

  /**
   * The permissions of this host as leader, evaluated when they are needed.
   *
   * @param mayOrder whether it may send orders to workers
   * @param mayStart whether it may start new runs
   * @param sharedDomains the failure domains whose workers another leader may be using
   */
  record Permissions(
      BooleanSupplier mayOrder, BooleanSupplier mayStart, Supplier<Set<String>> sharedDomains) {}

  final EventLoop loop;
  final Dispatcher dispatcher;
  final NodeMetrics metrics;
  final Permissions permissions;
  final Delivery delivery;
  final Consumer<String> onSuperseded;
  final EventLoopStats loopStats = new EventLoopStats();
  private final DrainedDomains drained;
  private final long term;
  private final WorkerOrders orders;
  private final List<DispatchEvent> events = new ArrayList<>();
  private boolean decisionScheduled;
  private boolean reportedMayStart = true;
  private Set<String> reportedSharedDomains = Set.of();
  private boolean closed;
  private Runnable cancelDrainSubscription = () -> {};

  /**
   * Creates a leadership.
   *
   * @param drained the drained failure domains, as far as this host knows
   * @param onSuperseded receives the reason if this host must stop leading
   */
  Leadership(
      long term,
      Dispatcher dispatcher,
      DrainedDomains drained,
      EventLoop loop,
      PlatformWorkerClient workerClient,
      NodeMetrics metrics,
      Permissions permissions,
      Delivery delivery,
      Consumer<String> onSuperseded) {
    this.term = term;
    this.dispatcher = dispatcher;
    this.drained = drained;
    this.loop = loop;
    this.metrics = metrics;
    this.permissions = permissions;
    this.delivery = delivery;
    this.onSuperseded = onSuperseded;
    this.orders = new WorkerOrders(term, workerClient, metrics, this::handle);
  }

  final long term() {
    return term;
  }

  final boolean isClosed() {
    return closed;
  }

  /** Returns the recent mean response time of the workers, in microseconds. */
  final double meanResponseMicros() {
    return orders.meanResponseMicros();
  }

  /** Returns the number of events that wait to be handled. */
  final int queuedEvents() {
    return events.size();
  }

  /** Returns the number of waiting jobs by class; empty if the stored jobs are not loaded yet. */
  final Optional<Map<String, Integer>> waitingJobs() {
    return dispatcher.waitingJobsByClass();
  }

  /**
   * Returns the retry forecast for the callers of jobs that hosts refuse.
   *
   * @param admittedShare the share of new jobs that hosts forward, from 0 to 1
   */
  final RetryForecast retryForecast(double admittedShare) {
    return dispatcher.retryForecast(admittedShare, EventLoop.now());
  }

  /** Handles a message of an entry host, which may be this one. */
  void handleEntryMessage(String host, HostMessage message) {
    long now = EventLoop.now();
    if (message instanceof Submit submit) {
      handle(
          new DispatchEvent.JobSubmitted(
              submit.job(),
              submit.requestClass(),
              host,
              now - submit.ageMicros(),
              now + submit.patienceMicros(),
              submit.generation(),
              failureDomainOf(host),
              submit.number(),
              submit.heartbeatSentAt()));
    } else if (message instanceof Withdraw withdraw) {
      handle(new DispatchEvent.JobWithdrawn(withdraw.job(), host, withdraw.cancelled()));
    }
  }

  /** Returns the failure domain of an entry host; empty if it is unknown or irrelevant. */
  String failureDomainOf(String host) {
    return "";
  }

  /**
   * Handles that an entry host has found this leader anew.
   *
   * @param leaderFoundBy when the heartbeat was sent by which it was found
   */
  final void entryHostReconnected(String host, long leaderFoundBy) {
    handle(new DispatchEvent.EntryHostReconnected(host, leaderFoundBy));
  }

  /** Handles the loss of an entry host. */
  final void entryHostLost(String host) {
    handle(new DispatchEvent.EntryHostLost(host));
  }

  /**
   * Passes the drained failure domains to the dispatcher; to be called before any event is handled.
   */
  final void subscribeToDrains() {
    cancelDrainSubscription =
        drained.subscribe(domains -> handle(new DispatchEvent.DomainsDrained(domains)));
  }

  final void tick() {
    if (!closed) {
      long now = EventLoop.now();
      handle(new DispatchEvent.Tick());
      loop.schedule(TICK_INTERVAL_MILLIS, this::tick);
      loopStats.recordTick(now, EventLoop.now() + EventLoop.millisToMicros(TICK_INTERVAL_MILLIS));
    }
  }

  /**
   * Queues an event. All events that arrive in one iteration of the event loop are handled
   * together, so that a leader that falls behind allocates capacity less often.
   */
  final void handle(DispatchEvent event) {
    events.add(event);
    if (!decisionScheduled) {
      decisionScheduled = true;
      loop.execute(this::decide);
    }
  }

  private void decide() {
    decisionScheduled = false;
    if (closed || !permissions.mayOrder().getAsBoolean()) {
      return;
    }
    boolean mayStart = permissions.mayStart().getAsBoolean();
    if (mayStart != reportedMayStart) {
      reportedMayStart = mayStart;
      events.add(0, new DispatchEvent.StartsAllowed(mayStart));
    }
    Set<String> sharedDomains = permissions.sharedDomains().get();
    if (!sharedDomains.equals(reportedSharedDomains)) {
      reportedSharedDomains = Set.copyOf(sharedDomains);
      EventLog.info(LogEvent.DOMAINS_SHARED, "term={} domains={}", term, sharedDomains);
      events.add(0, new DispatchEvent.DomainsShared(sharedDomains));
    }
    List<DispatchEvent> batch = List.copyOf(events);
    events.clear();
    long now = EventLoop.now();
    dispatcher.step(now, batch).forEach(this::executeOrLog);
    loopStats.recordStep(EventLoop.now() - now);
  }

  /** Executes an action; if that fails, those that follow are still executed. */
  private void executeOrLog(DispatchAction action) {
    Faults.contain("action " + action.getClass().getSimpleName(), () -> execute(action));
  }

  private void execute(DispatchAction action) {
    if (closed) {
      return;
    }
    if (action instanceof DispatchAction.Start start) {
      orders.start(start);
    } else if (action instanceof DispatchAction.Renew renew) {
      orders.renew(renew);
    } else if (action instanceof DispatchAction.Stop stop) {
      orders.stop(stop);
    } else if (action instanceof DispatchAction.Finish finish) {
      finish(finish);
    } else if (action instanceof DispatchAction.StepDown stepDown) {
      onSuperseded.accept(stepDown.reason());
    } else if (action instanceof DispatchAction.Log log) {
      log(log);
    } else {
      executeOther(action);
    }
  }

  /** Executes an action that only some kinds of leadership support. */
  abstract void executeOther(DispatchAction action);

  private void finish(DispatchAction.Finish finish) {
    finish
        .entries()
        .forEach(
            (host, number) ->
                delivery.deliver(
                    host,
                    new Finished(
                        finish.job(),
                        finish.outcome(),
                        finish.reason(),
                        finish.retryAfterMillis(),
                        number)));
  }

  private void log(DispatchAction.Log log) {
    metrics.countEvent(log.event());
    switch (log.event()) {
      case JOB_COMPLETED, JOB_SUBMITTED -> EventLog.debug(log.event(), "{}", log.detail());
      case WORKER_EJECTED -> EventLog.warn(log.event(), "{}", log.detail());
      default -> EventLog.info(log.event(), "{}", log.detail());
    }
  }

  /** Handles an event at once, without the queue, when this leadership is ending. */
  final void handleImmediately(DispatchEvent event) {
    if (!closed) {
      dispatcher.step(EventLoop.now(), event).forEach(this::executeOrLog);
    }
  }

  @Override
  public void close() {
    closed = true;
    cancelDrainSubscription.run();
  }
}
