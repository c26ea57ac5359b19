package org.marjoramhoist.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.dispatch.StartReply;
import org.marjoramhoist.dispatch.WorkerReport;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpException;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.TaskRef;

/**
 * The calls to workers: start, stop, and renew the lease while waiting for ends.
 *
 * <p>Futures fail with {@link HttpException}, which tells whether the order may have been carried
 * out. Safe for use by several threads.
 */
public final class PlatformWorkerClient {

  /** The worker that answers is not the one that was meant. */
  private static final int MISDIRECTED = 421;

  /** A report lists so many ends at most; the others follow once these are acknowledged. */
  public static final int MAX_COMPLETIONS_PER_REPORT = 500;

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;
  private static final String TARGET = "X-Marjoramhoist-Target-Instance";
  private static final JsonFactory FACTORY = new JsonFactory();

  /** The ends of known tasks in a report, and whether it lists all ends. */
  private record Ends(List<WorkerReport.Completion> known, boolean whole) {}

  private final HttpCaller caller;

  /** Creates the calls over a caller. */
  public PlatformWorkerClient(HttpCaller caller) {
    this.caller = caller;
  }

  /**
   * Orders a run to start.
   *
   * @param address where the worker answers
   * @param worker the id of the worker that is meant
   * @param run the run
   * @param payload the job's payload
   * @param leaseUntilMillis the end of the lease, on the worker's clock
   * @param token the fencing token
   * @param timeoutMillis how long the answer may take, in milliseconds
   */
  public CompletableFuture<StartReply> start(
      String address,
      String worker,
      RunRef run,
      String payload,
      long leaseUntilMillis,
      long token,
      long timeoutMillis) {
    StringBuilder body = new StringBuilder(payload.length() + 160);
    putRun(body, run, token);
    body.append(",\"deadlineMs\":").append(leaseUntilMillis).append(",\"spec\":\"");
    JsonStringEncoder.getInstance().quoteAsString(payload, body);
    body.append("\"}");
    return caller
        .call(call(address, worker, "/v1/run-start", body, timeoutMillis, false))
        .thenApply(PlatformWorkerClient::readStart);
  }

  /** Orders a run to stop, over a new connection, as the old ones may have gone silent. */
  public CompletableFuture<Boolean> stop(
      String address, String worker, RunRef run, long token, long timeoutMillis) {
    StringBuilder body = new StringBuilder(128);
    putRun(body, run, token);
    body.append('}');
    return caller
        .call(call(address, worker, "/v1/run-stop", body, timeoutMillis, true))
        .thenApply(reply -> reply.status() == OK);
  }

  /**
   * Renews the lease of all that runs on a worker, and waits for an end.
   *
   * @param leaseUntilMillis the end of the lease, on the worker's clock; 0 renews nothing
   * @param acknowledged the number of the last end taken in
   * @param waitMillis how long the worker may wait for an end, in milliseconds
   * @return the report; empty if another worker or life of it answers at the address
   */
  public CompletableFuture<Optional<WorkerReport>> renewLease(
      String address,
      String worker,
      long token,
      long acknowledged,
      long leaseUntilMillis,
      long waitMillis,
      long timeoutMillis) {
    StringBuilder body = new StringBuilder(96);
    body.append("{\"fence\":").append(token).append(",\"seenUpto\":").append(acknowledged);
    if (leaseUntilMillis > 0) {
      body.append(",\"deadlineMs\":").append(leaseUntilMillis);
    }
    if (waitMillis > 0) {
      body.append(",\"waitMs\":").append(waitMillis);
    }
    body.append('}');
    return caller
        .call(call(address, worker, "/v1/hold", body, timeoutMillis + waitMillis, false))
        .thenCompose(PlatformWorkerClient::readReport);
  }

  private static void putRun(StringBuilder body, RunRef run, long token) {
    body.append("{\"task\":\"").append(TaskNames.nameOf(run.task()));
    body.append("\",\"run\":").append(run.number());
    body.append(",\"fence\":").append(token);
  }

  private static HttpCall call(
      String address,
      String worker,
      String path,
      StringBuilder body,
      long timeoutMillis,
      boolean fresh) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    return new HttpCall(
        address, "POST", path, body.toString(), "", deadline, fresh, Map.of(TARGET, worker));
  }

  private static StartReply readStart(HttpReply reply) {
    long clock = 0;
    String reason = "";
    try (JsonParser in = FACTORY.createParser(reply.body())) {
      if (in.nextToken() == JsonToken.START_OBJECT) {
        while (in.nextToken() == JsonToken.FIELD_NAME) {
          String field = in.currentName();
          in.nextToken();
          switch (field) {
            case "clockMs" -> clock = in.getLongValue();
            case "reason" -> reason = in.getText();
            default -> in.skipChildren();
          }
        }
      }
    } catch (IOException e) {
      reason = "";
    }
    return new StartReply(verdict(reply.status(), reason), clock);
  }

  private static StartReply.Verdict verdict(int status, String reason) {
    return switch (status) {
      case OK -> StartReply.Verdict.STARTED;
      case MISDIRECTED -> StartReply.Verdict.OTHER_WORKER;
      case TOO_MANY, UNAVAILABLE -> StartReply.Verdict.UNHEALTHY;
      case CONFLICT ->
          switch (reason) {
            case "fence" -> StartReply.Verdict.STALE_TOKEN;
            case "old" -> StartReply.Verdict.STALE_RUN;
            case "late" -> StartReply.Verdict.LATE;
            case "room" -> StartReply.Verdict.NO_ROOM;
            default -> StartReply.Verdict.REJECTED;
          };
      default -> StartReply.Verdict.REJECTED;
    };
  }

  private static CompletableFuture<Optional<WorkerReport>> readReport(HttpReply reply) {
    if (reply.status() == MISDIRECTED) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    if (reply.status() != OK) {
      return CompletableFuture.failedFuture(
          new HttpException(true, "the worker answered " + reply.status()));
    }
    try {
      return CompletableFuture.completedFuture(Optional.of(parseReport(reply.body())));
    } catch (IOException e) {
      return CompletableFuture.failedFuture(
          new HttpException(true, "not a worker's report: " + e.getMessage()));
    }
  }

  static WorkerReport parseReport(String body) throws IOException {
    long clock = 0;
    long born = 0;
    List<WorkerReport.ActiveRun> running = List.of();
    Ends ends = new Ends(List.of(), true);
    try (JsonParser in = FACTORY.createParser(body)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("an object was expected");
      }
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String field = in.currentName();
        in.nextToken();
        switch (field) {
          case "clockMs" -> clock = in.getLongValue();
          case "born" -> born = in.getLongValue();
          case "running" -> running = readRunning(in);
          case "ended" -> ends = readEnds(in);
          default -> in.skipChildren();
        }
      }
    }
    return new WorkerReport(clock, born, running, ends.known(), ends.whole());
  }

  /** Rows of task, run, checkpoint, percent, and from some workers a load. */
  private static List<WorkerReport.ActiveRun> readRunning(JsonParser in) throws IOException {
    List<WorkerReport.ActiveRun> all = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_ARRAY) {
      in.nextToken();
      final Optional<TaskRef> task = TaskNames.parse(in.getText());
      final int run = in.nextIntValue(0);
      in.nextToken();
      in.nextToken();
      int percent = (int) in.getValueAsDouble();
      skipRow(in);
      task.ifPresent(t -> all.add(new WorkerReport.ActiveRun(new RunRef(t, run), percent)));
    }
    return all;
  }

  /** Rows of number, task, run, how, checkpoint. */
  private static Ends readEnds(JsonParser in) throws IOException {
    List<WorkerReport.Completion> all = new ArrayList<>();
    int rows = 0;
    while (in.nextToken() == JsonToken.START_ARRAY) {
      rows++;
      final long number = in.nextLongValue(0);
      in.nextToken();
      final Optional<TaskRef> task = TaskNames.parse(in.getText());
      final int run = in.nextIntValue(0);
      in.nextToken();
      RunOutcome how = endOf(in.getText());
      skipRow(in);
      task.ifPresent(t -> all.add(new WorkerReport.Completion(number, new RunRef(t, run), how)));
    }
    return new Ends(all, rows < MAX_COMPLETIONS_PER_REPORT);
  }

  private static RunOutcome endOf(String how) {
    return switch (how) {
      case "done" -> RunOutcome.DONE;
      case "failed" -> RunOutcome.FAILED;
      case "stopped" -> RunOutcome.STOPPED;
      case "lapsed" -> RunOutcome.LAPSED;
      default -> RunOutcome.BROKEN;
    };
  }

  private static void skipRow(JsonParser in) throws IOException {
    while (in.currentToken() != JsonToken.END_ARRAY) {
      if (in.nextToken() == null) {
        throw new IOException("a row has no end");
      }
    }
  }
}
