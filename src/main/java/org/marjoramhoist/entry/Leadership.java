package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.marjoramhoist.dispatch.DispatchAction;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.Dispatcher;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.Submit;
import org.marjoramhoist.message.HostMessage.Withdraw;
import org.marjoramhoist.platform.PlatformWorkerClient;

/**
 * One term of leading: feeds the decisions and carries out what they ask for.
 *
 * <p>While it may not be the leader any more, as it is out of contact, events wait and nothing is
 * ordered. After {@link #close} nothing more is decided or ordered. Confined to the loop's thread.
 */
abstract class Leadership implements AutoCloseable {

  private static final long TICK_MILLIS = 20;

  /** Delivers the end of a job, or of a call about one, to the host whose caller waits. */
  interface Delivery {
    void deliver(String host, HostMessage answer);
  }

  /**
   * What this host may do now as leader.
   *
   * @param mayOrder whether it may order anything
   * @param mayStart whether it may start new runs
   */
  record Permissions(BooleanSupplier mayOrder, BooleanSupplier mayStart) {}

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
  private boolean closed;
  private Runnable drainSubscription = () -> {};

  /**
   * Creates a term.
   *
   * @param drained which failure domains are drained, as this host knows
   * @param onStale is told why this host must not lead any more
   */
  Leadership(
      long term,
      Dispatcher dispatcher,
      DrainedDomains drained,
      EventLoop loop,
      PlatformWorkerClient workers,
      NodeMetrics metrics,
      Permissions permits,
      Delivery delivery,
      Consumer<String> onStale) {
    this.term = term;
    this.dispatcher = dispatcher;
    this.drained = drained;
    this.loop = loop;
    this.metrics = metrics;
    this.permissions = permits;
    this.delivery = delivery;
    this.onSuperseded = onStale;
    this.orders = new WorkerOrders(term, workers, metrics, this::handle);
  }

  final long term() {
    return term;
  }

  final boolean isClosed() {
    return closed;
  }

  /** Returns how long workers lately took to answer on average, in microseconds. */
  final double meanResponseMicros() {
    return orders.meanResponseMicros();
  }

  /** Returns how many events wait to be decided on. */
  final int queuedEvents() {
    return events.size();
  }

  final Map<String, Integer> waitingJobs() {
    return dispatcher.waitingJobsByClass();
  }

  /** Returns what hosts that send on a share of their new jobs are told for the others. */
  final RetryForecast retryForecast(double intake) {
    return dispatcher.retryForecast(intake, EventLoop.now());
  }

  /** Takes in a message of an entry host, which may be this one. */
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
              failureDomainOf(host)));
    } else if (message instanceof Withdraw withdraw) {
      handle(new DispatchEvent.JobWithdrawn(withdraw.job(), host));
    }
  }

  /**
   * Returns the failure domain of an entry host; empty if it is not known or makes no difference.
   */
  String failureDomainOf(String host) {
    return "";
  }

  /** Takes in that an entry host is gone. */
  final void entryLost(String host) {
    handle(new DispatchEvent.EntryHostLost(host));
  }

  /** Tells the decisions which failure domains are drained, from now on and before all else. */
  final void subscribeToDrains() {
    drainSubscription = drained.subscribe(set -> handle(new DispatchEvent.DomainsDrained(set)));
  }

  final void tick() {
    if (!closed) {
      long now = EventLoop.now();
      handle(new DispatchEvent.Tick());
      loop.schedule(TICK_MILLIS, this::tick);
      loopStats.recordTick(now, EventLoop.now() + EventLoop.millisToMicros(TICK_MILLIS));
    }
  }

  /**
   * Takes in an event. All that the loop hears in one turn is decided on at once, so that a leader
   * that falls behind gives out room less often.
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
    List<DispatchEvent> heard = List.copyOf(events);
    events.clear();
    long now = EventLoop.now();
    dispatcher.step(now, heard).forEach(this::execute);
    loopStats.recordStep(EventLoop.now() - now);
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

  /** Carries out an action that not every leader has. */
  abstract void executeOther(DispatchAction action);

  private void finish(DispatchAction.Finish finish) {
    Finished end =
        new Finished(finish.job(), finish.outcome(), finish.reason(), finish.retryAfterMillis());
    finish.entries().forEach(host -> delivery.deliver(host, end));
  }

  private void log(DispatchAction.Log log) {
    metrics.countEvent(log.event());
    switch (log.event()) {
      case JOB_COMPLETED -> EventLog.debug(log.event(), "{}", log.detail());
      case WORKER_EJECTED -> EventLog.warn(log.event(), "{}", log.detail());
      default -> EventLog.info(log.event(), "{}", log.detail());
    }
  }

  /** Carries out, right now, what an event asks for at the end of the term. */
  final void handleImmediately(DispatchEvent event) {
    if (!closed) {
      dispatcher.step(EventLoop.now(), event).forEach(this::execute);
    }
  }

  @Override
  public void close() {
    closed = true;
    drainSubscription.run();
  }
}
