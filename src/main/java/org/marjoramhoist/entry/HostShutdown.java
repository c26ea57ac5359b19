package org.marjoramhoist.entry;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.marjoramhoist.lead.GracefulShutdown;
import org.marjoramhoist.lead.ShutdownAction;
import org.marjoramhoist.lead.ShutdownEvent;
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
  private final CallerListener listener;
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
      CallerListener listener,
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
    int open = Math.max(exchanges.count(), jobs.count() + calls.count());
    ShutdownEvent event = new ShutdownEvent.OpenCounted(open, awaitsSuccessor.getAsBoolean());
    shutdown.step(EventLoop.now(), event).forEach(this::execute);
    if (!shutdown.hasEnded()) {
      loop.schedule(COUNT_INTERVAL_MILLIS, this::countOpen);
    }
  }

  private void execute(ShutdownAction action) {
    switch (action) {
      case REFUSE_NEW_CONNECTIONS ->
          listener.handleNewConnectionsWith(exchanges.counting(refusal::accept));
      case ABANDON_OPEN -> abandonOpen();
      case CLOSE_LISTENER -> {
        listener.stopAccepting();
        deregistration.run();
      }
      case CLOSE_CONNECTIONS -> closeConnections();
      default -> throw new AssertionError(action);
    }
  }

  private void abandonOpen() {
    jobs.abandonAll();
    calls.abandonAll();
    exchanges.halfRead().forEach(refusal);
  }

  private void closeConnections() {
    long micros = EventLoop.now() - startedAt;
    EventLog.info(LogEvent.REQUESTS_AT_STOP, "micros={} {}", micros, exchanges);
    listener.closeConnections();
    loop.execute(completed::countDown);
  }
}
