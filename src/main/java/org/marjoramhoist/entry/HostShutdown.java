package org.marjoramhoist.entry;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.marjoramhoist.lead.GracefulShutdown;
import org.marjoramhoist.lead.ShutdownAction;
import org.marjoramhoist.lead.ShutdownEvent;
import org.marjoramhoist.listener.HttpListener;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;

/**
 * Executes the graceful shutdown of a host's listener for callers.
 *
 * <p>Confined to the event loop's thread, which is the listener's only I/O thread, except for
 * {@link #completed}.
 */
final class HostShutdown {

  private static final long COUNT_INTERVAL_MILLIS = 20;

  private final EventLoop loop;
  private final GracefulShutdown shutdown;
  private final HttpListener listener;
  private final OpenExchanges exchanges;
  private final OpenJobs jobs;
  private final JobCalls calls;
  private final Consumer<HttpServerExchange> refusal;
  private final BooleanSupplier awaitsSuccessor;
  private final Runnable deregistration;
  private final CountDownLatch completed = new CountDownLatch(1);
  private long startedAt;

  /**
   * Creates the shutdown of a host that runs.
   *
   * @param refusal responds to requests on connections that are opened too late
   * @param awaitsSuccessor whether this host leads and another host is to succeed it
   * @param deregistration removes the host from the store
   */
  HostShutdown(
      EventLoop loop,
      GracefulShutdown shutdown,
      HttpListener listener,
      OpenExchanges exchanges,
      OpenJobs jobs,
      JobCalls calls,
      Consumer<HttpServerExchange> refusal,
      BooleanSupplier awaitsSuccessor,
      Runnable deregistration) {
    this.loop = loop;
    this.shutdown = shutdown;
    this.listener = listener;
    this.exchanges = exchanges;
    this.jobs = jobs;
    this.calls = calls;
    this.refusal = refusal;
    this.awaitsSuccessor = awaitsSuccessor;
    this.deregistration = deregistration;
  }

  /** Returns the latch that is released once nothing more is read from callers. */
  CountDownLatch completed() {
    return completed;
  }

  /** Starts the shutdown, unless it was started before. */
  void start(long endBy) {
    if (shutdown.hasStarted()) {
      return;
    }
    startedAt = EventLoop.now();
    exchanges.startTotals();
    shutdown.step(startedAt, new ShutdownEvent.StopRequested(endBy));
    countOpen();
  }

  private void countOpen() {
    int open = Math.max(exchanges.count(), jobs.count() + calls.count()) + listener.halfReadCount();
    ShutdownEvent event = new ShutdownEvent.OpenCounted(open, awaitsSuccessor.getAsBoolean());
    List<ShutdownAction> actions = shutdown.step(EventLoop.now(), event);
    if (!shutdown.hasEnded()) {
      loop.schedule(COUNT_INTERVAL_MILLIS, this::countOpen);
    }
    actions.forEach(this::execute);
  }

  private void execute(ShutdownAction action) {
    switch (action) {
      case REFUSE_NEW_CONNECTIONS ->
          listener.handleNewConnectionsWith(exchanges.counting(refusal::accept));
      case ABANDON_OPEN -> abandonOpen();
      case CLOSE_LISTENER -> {
        loop.execute(deregistration);
        listener.stopAccepting();
      }
      case CLOSE_CONNECTIONS -> closeConnections();
      default -> throw new AssertionError(action);
    }
  }

  /**
   * Answers what is open, each part in a task of its own, so that a failure of one ends no other.
   */
  private void abandonOpen() {
    loop.execute(jobs::abandonAll);
    loop.execute(calls::abandonAll);
    loop.execute(() -> listener.endHalfRead(exchanges.counting(refusal::accept)));
  }

  private void closeConnections() {
    long micros = EventLoop.now() - startedAt;
    EventLog.info(
        LogEvent.REQUESTS_AT_STOP,
        "micros={} {} halfRead={}",
        micros,
        exchanges,
        listener.halfReadCount());
    try {
      listener.closeConnections();
    } finally {
      loop.execute(completed::countDown);
    }
  }
}
