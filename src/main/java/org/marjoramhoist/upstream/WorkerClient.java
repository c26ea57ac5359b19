package org.marjoramhoist.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.decision.Outcome;
import org.marjoramhoist.decision.Policy;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpException;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.upstream.WorkerProtocol.Reply;

/**
 * Passes attempts to workers over HTTP and turns their answers into events.
 *
 * <p>Every attempt yields exactly one event. Safe for use by several threads.
 */
public final class WorkerClient implements AutoCloseable {

  private static final ObjectMapper MAPPER =
      JsonText.MAPPER.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  private static final long SETTLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long REPLY_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long CLOCK_MARGIN_MILLIS = 2_000;
  private static final long MAX_WAIT_NANOS = TimeUnit.MINUTES.toNanos(15);

  private final HttpCaller caller;
  private final Events events;

  /** Takes the events; called on I/O threads. */
  public interface Events {
    /** Takes an event. */
    void publish(Event event);
  }

  /**
   * Creates a client.
   *
   * @param caller sends the calls
   * @param events takes the events
   */
  public WorkerClient(HttpCaller caller, Events events) {
    this.caller = caller;
    this.events = events;
  }

  /** Starts a task; its end arrives as {@link Event.AttemptEnded}. */
  public void start(Action.Start start) {
    WorkerProtocol.StartBody body =
        new WorkerProtocol.StartBody(
            start.job().id().value(),
            start.task().id().value(),
            start.job().classId().value(),
            start.job().team().value(),
            start.task().payload(),
            start.leaseDeadline() / Policy.MICROS_PER_MILLI);
    HttpCall call =
        new HttpCall(
            start.worker().address(),
            "POST",
            WorkerProtocol.ATTEMPTS + start.attempt(),
            JsonText.of(body),
            "",
            System.nanoTime() + MAX_WAIT_NANOS,
            false);
    caller
        .call(call)
        .whenComplete(
            (reply, error) -> {
              Outcome outcome = error == null ? outcome(reply, 0) : broken(error);
              noteLeaving(start.worker().id().value(), reply);
              events.publish(new Event.AttemptEnded(start.attempt(), outcome));
            });
  }

  /** Asks about an attempt; the answer arrives as {@link Event.AttemptSettled}. */
  public void settle(Action.Settle settle) {
    long lease = settle.leaseDeadline() / Policy.MICROS_PER_MILLI;
    HttpCall call =
        new HttpCall(
            settle.worker().address(),
            "POST",
            WorkerProtocol.ATTEMPTS + settle.attempt() + "/settle",
            JsonText.of(new WorkerProtocol.SettleBody(lease)),
            "",
            System.nanoTime() + SETTLE_TIMEOUT_NANOS,
            true);
    long startedAt = settle.startedAt() / Policy.MICROS_PER_MILLI;
    caller
        .call(call)
        .whenComplete(
            (reply, error) -> {
              Outcome outcome = error == null ? outcome(reply, startedAt) : broken(error);
              events.publish(new Event.AttemptSettled(settle.attempt(), outcome));
            });
  }

  /** Tells a worker that a result is not wanted any more. */
  public CompletableFuture<HttpReply> abort(Action.Abort abort) {
    return caller.call(
        HttpCall.of(
            abort.worker().address(),
            "DELETE",
            WorkerProtocol.ATTEMPTS + abort.attempt(),
            "",
            System.nanoTime() + SETTLE_TIMEOUT_NANOS + REPLY_MARGIN_NANOS));
  }

  private void noteLeaving(String worker, HttpReply reply) {
    if (reply != null && reply.body().contains("\"leaving\":true")) {
      events.publish(new Event.WorkerLeaving(worker));
    }
  }

  private static Outcome broken(Throwable error) {
    String reason = String.valueOf(error.getMessage());
    return HttpException.mayHaveArrived(error)
        ? new Outcome.Unknown(reason)
        : new Outcome.NotSent(reason);
  }

  /**
   * Reads a worker's answer.
   *
   * @param startedAtMillis when the attempt was sent; a worker that started later can't know it
   */
  private Outcome outcome(HttpReply reply, long startedAtMillis) {
    Reply read;
    try {
      read = MAPPER.readValue(reply.body(), Reply.class);
    } catch (JsonProcessingException e) {
      return new Outcome.Unknown("unreadable reply with status " + reply.status());
    }
    if (read == null || read.state() == null) {
      return new Outcome.Unknown("reply without a state, status " + reply.status());
    }
    return switch (read.state()) {
      case WorkerProtocol.DONE ->
          new Outcome.Succeeded(read.value() == null ? "" : read.value(), read.runMicros());
      case WorkerProtocol.FAILED ->
          new Outcome.Failed(String.valueOf(read.detail()), read.runMicros());
      case WorkerProtocol.RUNNING -> new Outcome.Running();
      case WorkerProtocol.NOT_STARTED -> notStarted(read, startedAtMillis);
      default -> new Outcome.Unknown("unknown state " + read.state());
    };
  }

  private static Outcome notStarted(Reply read, long startedAtMillis) {
    boolean restarted =
        startedAtMillis > 0 && read.bootMillis() > startedAtMillis - CLOCK_MARGIN_MILLIS;
    return restarted
        ? new Outcome.Forgotten()
        : new Outcome.NotStarted(String.valueOf(read.detail()), read.leaving());
  }

  @Override
  public void close() {
    caller.close();
  }
}
