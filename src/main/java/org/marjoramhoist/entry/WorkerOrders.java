package org.marjoramhoist.entry;

import java.util.function.Consumer;
import org.marjoramhoist.dispatch.CallFailure;
import org.marjoramhoist.dispatch.DispatchAction;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.http.HttpException;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.platform.PlatformWorkerClient;

/**
 * Sends a leader's orders to workers and reports their results.
 *
 * <p>Confined to the event loop's thread.
 */
final class WorkerOrders {

  private static final long START_TIMEOUT_MILLIS = 120;
  private static final long STOP_TIMEOUT_MILLIS = 150;
  private static final long RENEW_TIMEOUT_MILLIS = 150;

  private final long term;
  private final PlatformWorkerClient workerClient;
  private final NodeMetrics metrics;
  private final Consumer<DispatchEvent> events;
  private final AdaptiveTimeout adaptiveTimeout = new AdaptiveTimeout();

  /**
   * Creates the orders of a term.
   *
   * @param term the fencing token of all orders
   * @param events receives the results of the orders
   */
  WorkerOrders(
      long term,
      PlatformWorkerClient workerClient,
      NodeMetrics metrics,
      Consumer<DispatchEvent> events) {
    this.term = term;
    this.workerClient = workerClient;
    this.metrics = metrics;
    this.events = events;
  }

  /** Returns the moving average of the workers' response time in microseconds. */
  double meanResponseMicros() {
    return adaptiveTimeout.meanMicros();
  }

  void start(DispatchAction.Start start) {
    long sentAt = EventLoop.now();
    long timeout = adaptiveTimeout.timeoutMillis(START_TIMEOUT_MILLIS);
    WorkerInfo worker = start.worker();
    EventLog.debug(LogEvent.RUN_ORDERED, "run={} worker={}", start.run(), worker.id());
    workerClient
        .start(
            worker.address(),
            worker.id(),
            start.run(),
            start.payload(),
            start.leaseUntilMillis(),
            term,
            timeout)
        .whenComplete(
            (reply, error) -> {
              recordResponseTime(sentAt, 0, error);
              metrics.countOrder("start", error == null ? reply.verdict().name() : "UNANSWERED");
              if (error == null) {
                events.accept(
                    new DispatchEvent.StartAnswered(worker.id(), start.run(), sentAt, reply));
              } else {
                metrics.countOrderFailure("start", failureOf(error));
                events.accept(startUnanswered(start, error));
              }
            });
  }

  void stop(DispatchAction.Stop stop) {
    long sentAt = EventLoop.now();
    long timeout = adaptiveTimeout.timeoutMillis(STOP_TIMEOUT_MILLIS);
    WorkerInfo worker = stop.worker();
    workerClient
        .stop(worker.address(), worker.id(), stop.run(), term, timeout)
        .whenComplete(
            (stopped, error) -> {
              recordResponseTime(sentAt, 0, error);
              boolean confirmed = error == null && stopped;
              metrics.countOrder("stop", confirmed ? "CONFIRMED" : "UNANSWERED");
              if (error != null) {
                metrics.countOrderFailure("stop", failureOf(error));
              }
              events.accept(new DispatchEvent.StopEnded(worker.id(), stop.run(), confirmed));
            });
  }

  void renew(DispatchAction.Renew renew) {
    long sentAt = EventLoop.now();
    long timeout = adaptiveTimeout.timeoutMillis(RENEW_TIMEOUT_MILLIS);
    WorkerInfo worker = renew.worker();
    workerClient
        .renewLease(
            worker.address(),
            worker.id(),
            term,
            renew.acknowledged(),
            renew.leaseUntilMillis(),
            renew.waitMillis(),
            timeout)
        .whenComplete(
            (report, error) -> {
              recordResponseTime(sentAt, renew.waitMillis(), error);
              metrics.countOrder("renew", error == null ? "ANSWERED" : "UNANSWERED");
              if (error == null) {
                events.accept(new DispatchEvent.RenewalAnswered(worker.id(), sentAt, report));
              } else {
                CallFailure failure = failureOf(error);
                metrics.countOrderFailure("renew", failure);
                events.accept(new DispatchEvent.RenewalFailed(worker.id(), failure));
              }
            });
  }

  private static DispatchEvent.StartUnanswered startUnanswered(
      DispatchAction.Start start, Throwable error) {
    return new DispatchEvent.StartUnanswered(
        start.worker().id(),
        start.run(),
        HttpException.mayHaveArrived(error),
        failureOf(error),
        HttpException.reasonOf(error));
  }

  private static CallFailure failureOf(Throwable error) {
    return switch (HttpException.kindOf(error)) {
      case REFUSED -> CallFailure.REFUSED;
      case BROKEN -> CallFailure.BROKEN;
      case TIMED_OUT -> CallFailure.SILENT;
      case INVALID -> CallFailure.INVALID;
    };
  }

  /**
   * Records the response time of a successful call, less the time that the worker was asked to
   * wait.
   */
  private void recordResponseTime(long sentAt, long waitMillis, Throwable error) {
    if (error == null) {
      adaptiveTimeout.recordResponse(
          Math.max(0, EventLoop.now() - sentAt - EventLoop.millisToMicros(waitMillis)));
    }
  }
}
