package org.marjoramhoist.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.marjoramhoist.dispatch.JobCallKind;
import org.marjoramhoist.dispatch.JobCallResult;
import org.marjoramhoist.dispatch.JobTimeLimits;
import org.marjoramhoist.http.Exchanges;
import org.marjoramhoist.http.Replies;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.lead.GracefulShutdown;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.JobCallReply;
import org.marjoramhoist.platform.JobBodies;

/**
 * The HTTP interface for callers: submits a job, returns its status, cancels it, and counts the
 * waiting jobs of a class.
 *
 * <p>Confined to the event loop's thread, which is the listener's only I/O thread.
 */
final class JobHttpHandler implements HttpHandler {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

  /** When the callers of a host that stops may retry, which other hosts serve. */
  private static final long STOP_RETRY_MILLIS = 1_000;

  private static final String EMPTY_BODY = "{}";

  private final ConfigWatch config;
  private final OpenJobs jobs;
  private final JobCalls calls;
  private final NodeMetrics metrics;
  private final ToIntFunction<String> waitingJobs;
  private final GracefulShutdown shutdown;

  /**
   * Creates the handler.
   *
   * @param waitingJobs returns the number of waiting jobs of a class
   * @param shutdown whether requests are accepted, and by when they must have a result
   */
  JobHttpHandler(
      ConfigWatch config,
      OpenJobs jobs,
      JobCalls calls,
      NodeMetrics metrics,
      ToIntFunction<String> waitingJobs,
      GracefulShutdown shutdown) {
    this.config = config;
    this.jobs = jobs;
    this.calls = calls;
    this.metrics = metrics;
    this.waitingJobs = waitingJobs;
    this.shutdown = shutdown;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (!shutdown.accepts(EventLoop.now())) {
      refuseStopping(exchange);
      return;
    }
    if (!config.isKnown()) {
      reply(exchange, UNAVAILABLE, EMPTY_BODY);
      return;
    }
    String authority = exchange.getRequestHeaders().getFirst(Headers.HOST);
    String path = exchange.getRequestPath();
    Optional<RequestClass> found = config.current().find(authority == null ? "" : authority, path);
    if (found.isEmpty()) {
      reply(exchange, NOT_FOUND, EMPTY_BODY);
      return;
    }
    route(exchange, found.get(), path.substring(found.get().pathPrefix().length()));
  }

  /**
   * Refuses a request because this host stops; a job that was submitted here before is answered
   * truthfully.
   */
  void refuseStopping(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    JobId id;
    try {
      id = new JobId(path.substring(path.lastIndexOf('/') + 1));
    } catch (IllegalArgumentException e) {
      replyRefused(exchange, STOP_RETRY_MILLIS);
      return;
    }
    if (exchange.getRequestMethod().equals(Methods.POST)) {
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> refuseOrJoin(exchange, id));
    } else {
      replyRefused(exchange, STOP_RETRY_MILLIS);
    }
  }

  private void refuseOrJoin(HttpServerExchange exchange, JobId id) {
    Consumer<Finished> caller = result -> replyResult(exchange, result);
    jobs.refuse(id, "the host stops", STOP_RETRY_MILLIS, caller);
    watch(exchange, id, caller);
  }

  private void watch(HttpServerExchange exchange, JobId id, Consumer<Finished> caller) {
    if (jobs.isOpen(id)) {
      DisconnectWatch.start(exchange, () -> jobs.callerLeft(id, caller));
    }
  }

  private void route(HttpServerExchange exchange, RequestClass requestClass, String jobPath) {
    if (exchange.getRequestMethod().equals(Methods.GET) && jobPath.isEmpty()) {
      reply(exchange, OK, JobBodies.waitingJobsBody(waitingJobs.applyAsInt(requestClass.name())));
      return;
    }
    JobId id;
    try {
      id = new JobId(jobPath);
    } catch (IllegalArgumentException e) {
      reply(exchange, NOT_FOUND, EMPTY_BODY);
      return;
    }
    if (exchange.getRequestMethod().equals(Methods.POST)) {
      handlePost(exchange, requestClass, id);
    } else if (exchange.getRequestMethod().equals(Methods.GET)) {
      handleStatus(exchange, id);
    } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
      handleCancel(exchange, id);
    } else {
      reply(exchange, METHOD_NOT_ALLOWED, EMPTY_BODY);
    }
  }

  private void handleStatus(HttpServerExchange exchange, JobId id) {
    if (jobs.isOpen(id)) {
      reply(exchange, OK, JobBodies.statusBody(JobStatus.RUNNING));
    } else {
      sendCall(exchange, JobCallKind.STATUS, id);
    }
  }

  private void handleCancel(HttpServerExchange exchange, JobId id) {
    if (jobs.cancel(id)) {
      reply(exchange, OK, EMPTY_BODY);
    } else {
      sendCall(exchange, JobCallKind.CANCEL, id);
    }
  }

  private void sendCall(HttpServerExchange exchange, JobCallKind kind, JobId id) {
    long arrivedAt = EventLoop.now();
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            calls.request(
                kind,
                id,
                arrivedAt,
                shutdown.limit(callerDeadline(exchange, arrivedAt)),
                callReply -> replyToCall(exchange, kind, id, callReply)));
  }

  private static long callerDeadline(HttpServerExchange exchange, long arrivedAt) {
    long timeoutMillis =
        JobBodies.callerTimeoutMillis(exchange.getRequestHeaders(), DEFAULT_TIMEOUT_MILLIS);
    return arrivedAt + EventLoop.millisToMicros(timeoutMillis);
  }

  private void replyToCall(
      HttpServerExchange exchange, JobCallKind kind, JobId id, JobCallReply callReply) {
    if (callReply.result() != JobCallResult.DONE) {
      EventLog.info(
          LogEvent.JOB_ANSWERED,
          "job={} call={} end={} retryAfterMillis={}",
          id,
          kind,
          callReply.result(),
          callReply.retryAfterMillis());
    }
    switch (callReply.result()) {
      case DONE -> reply(exchange, OK, JobBodies.statusBody(callReply.status()));
      case REFUSED -> replyRefused(exchange, callReply.retryAfterMillis());
      case UNKNOWN_JOB -> reply(exchange, GONE, EMPTY_BODY);
      default -> reply(exchange, GATEWAY_TIMEOUT, EMPTY_BODY);
    }
  }

  private void handlePost(HttpServerExchange exchange, RequestClass requestClass, JobId id) {
    long arrivedAt = EventLoop.now();
    Exchanges.receive(
        exchange, (sameExchange, body) -> submit(sameExchange, requestClass, id, arrivedAt, body));
  }

  private void submit(
      HttpServerExchange exchange,
      RequestClass requestClass,
      JobId id,
      long arrivedAt,
      byte[] body) {
    if (!shutdown.accepts(EventLoop.now())) {
      refuseStopping(exchange);
      return;
    }
    JobDescription job;
    try {
      job = JobBodies.parseJob(id, body);
    } catch (IOException e) {
      EventLog.info(LogEvent.JOB_REFUSED, "job={} reason={}", id, e.getMessage());
      reply(exchange, BAD_REQUEST, EMPTY_BODY);
      return;
    }
    Optional<JobFeature> unsupported = job.unsupportedFeature();
    if (unsupported.isPresent() || requestClass.needsPlacementAdvice()) {
      String feature = unsupported.map(JobFeature::name).orElse("ADVICE");
      EventLog.info(LogEvent.JOB_REFUSED, "job={} reason=unsupported {}", id, feature);
      reply(exchange, UNAVAILABLE, EMPTY_BODY);
      return;
    }
    long callerDeadline = callerDeadline(exchange, arrivedAt);
    long deadline = shutdown.limit(callerDeadline);
    if (job.isDurable()) {
      calls.submit(
          job,
          requestClass,
          arrivedAt,
          deadline,
          callReply -> replyToCall(exchange, JobCallKind.SUBMIT, id, callReply));
      return;
    }
    if (deadline < callerDeadline
        && !JobTimeLimits.canFinishInTime(
            job, requestClass, arrivedAt, deadline, EventLoop.now())) {
      refuseStopping(exchange);
      return;
    }
    Consumer<Finished> caller =
        result -> {
          metrics.recordJob(requestClass.name(), result.outcome(), EventLoop.now() - arrivedAt);
          replyResult(exchange, result);
        };
    jobs.submit(job, requestClass, arrivedAt, deadline, caller);
    watch(exchange, id, caller);
  }

  private void replyResult(HttpServerExchange exchange, Finished result) {
    if (result.outcome() != JobOutcome.SUCCEEDED) {
      EventLog.info(
          LogEvent.JOB_ANSWERED,
          "job={} outcome={} reason={} retryAfterMillis={}",
          result.job(),
          result.outcome(),
          result.reason(),
          result.retryAfterMillis());
    }
    switch (result.outcome()) {
      case SUCCEEDED, FAILED, CANCELLED ->
          reply(exchange, OK, JobBodies.outcomeBody(result.outcome()));
      case REFUSED -> replyRefused(exchange, result.retryAfterMillis());
      default -> reply(exchange, GATEWAY_TIMEOUT, JobBodies.outcomeBody(JobOutcome.ABANDONED));
    }
  }

  private void replyRefused(HttpServerExchange exchange, long retryAfterMillis) {
    if (retryAfterMillis > 0 && !exchange.isResponseStarted()) {
      long seconds = TimeUnit.MILLISECONDS.toSeconds(retryAfterMillis + 999);
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
      metrics.recordRetryAfter(seconds);
    }
    reply(exchange, UNAVAILABLE, JobBodies.outcomeBody(JobOutcome.REFUSED));
  }

  private void reply(HttpServerExchange exchange, int status, String body) {
    if (exchange.isResponseStarted()) {
      return;
    }
    if (shutdown.hasStarted()) {
      exchange.setPersistent(false);
    }
    Replies.json(exchange, status, body);
  }
}
