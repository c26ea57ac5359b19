package org.marjoramhoist.platform;

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
import org.marjoramhoist.json.JsonText;

/**
 * A client of the workers' interface, which starts and stops runs, renews leases and fetches
 * reports.
 *
 * <p>Futures fail with {@link HttpException}, which tells whether the worker may have carried out
 * the call. Safe for use by several threads.
 */
public final class PlatformWorkerClient {

  /** The call reached a worker other than its target. */
  private static final int MISDIRECTED_REQUEST = 421;

  /** The maximum number of completions in a report; others follow once these are acknowledged. */
  public static final int MAX_COMPLETIONS_PER_REPORT = 500;

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final String TARGET_HEADER = "X-Marjoramhoist-Target-Instance";

  /**
   * The completions of tasks with a valid name, and whether the report contains all completions.
   */
  private record CompletionList(List<WorkerReport.Completion> withValidNames, boolean hasAll) {}

  private final HttpCaller caller;

  /** Creates a client that sends its calls through an HTTP client. */
  public PlatformWorkerClient(HttpCaller caller) {
    this.caller = caller;
  }

  /**
   * Sends a start order.
   *
   * @param address {@code host:port} of the worker
   * @param worker the id of the worker
   * @param run the run
   * @param payload the job's payload
   * @param leaseUntilMillis when the lease expires, on the worker's clock in milliseconds
   * @param token the fencing token
   * @param timeoutMillis the timeout of the call, in milliseconds
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
    appendRun(body, run, token);
    body.append(",\"deadlineMs\":").append(leaseUntilMillis).append(",\"spec\":\"");
    JsonStringEncoder.getInstance().quoteAsString(payload, body);
    body.append("\"}");
    return caller
        .call(newCall(address, worker, "/v1/run-start", body, timeoutMillis, false))
        .thenApply(PlatformWorkerClient::parseStartReply);
  }

  /** Sends a stop order, over a new connection because pooled ones may no longer be answered. */
  public CompletableFuture<Boolean> stop(
      String address, String worker, RunRef run, long token, long timeoutMillis) {
    StringBuilder body = new StringBuilder(128);
    appendRun(body, run, token);
    body.append('}');
    return caller
        .call(newCall(address, worker, "/v1/run-stop", body, timeoutMillis, true))
        .thenApply(reply -> reply.status() == OK);
  }

  /**
   * Renews the leases of all runs on a worker, and waits for a completion.
   *
   * @param leaseUntilMillis when the leases expire, on the worker's clock in milliseconds; 0 to
   *     renew none
   * @param acknowledged the sequence number of the last completion handled
   * @param waitMillis how long the worker may wait for a completion, in milliseconds
   * @return the report; empty if another worker, or another incarnation of it, answers at the
   *     address
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
        .call(newCall(address, worker, "/v1/hold", body, timeoutMillis + waitMillis, false))
        .thenCompose(PlatformWorkerClient::toReport);
  }

  private static void appendRun(StringBuilder body, RunRef run, long token) {
    body.append("{\"task\":\"").append(TaskNames.format(run.task()));
    body.append("\",\"run\":").append(run.number());
    body.append(",\"fence\":").append(token);
  }

  private static HttpCall newCall(
      String address,
      String worker,
      String path,
      StringBuilder body,
      long timeoutMillis,
      boolean fresh) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    return new HttpCall(
        address, "POST", path, body.toString(), "", deadline, fresh, Map.of(TARGET_HEADER, worker));
  }

  private static StartReply parseStartReply(HttpReply reply) {
    long clock = 0;
    String reason = "";
    try (JsonParser in = JsonText.FACTORY.createParser(reply.body())) {
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
    return new StartReply(toVerdict(reply.status(), reason), clock);
  }

  private static StartReply.Verdict toVerdict(int status, String reason) {
    return switch (status) {
      case OK -> StartReply.Verdict.STARTED;
      case MISDIRECTED_REQUEST -> StartReply.Verdict.OTHER_WORKER;
      case TOO_MANY_REQUESTS, UNAVAILABLE -> StartReply.Verdict.UNHEALTHY;
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

  private static CompletableFuture<Optional<WorkerReport>> toReport(HttpReply reply) {
    if (reply.status() == MISDIRECTED_REQUEST) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    if (reply.status() != OK) {
      return CompletableFuture.failedFuture(
          new HttpException(
              true, HttpException.Kind.INVALID, "the worker returned status " + reply.status()));
    }
    try {
      return CompletableFuture.completedFuture(Optional.of(parseReport(reply.body())));
    } catch (IOException e) {
      return CompletableFuture.failedFuture(
          new HttpException(
              true, HttpException.Kind.INVALID, "invalid worker report: " + e.getMessage()));
    }
  }

  static WorkerReport parseReport(String body) throws IOException {
    long clock = 0;
    long born = 0;
    List<WorkerReport.ActiveRun> activeRuns = List.of();
    CompletionList completions = new CompletionList(List.of(), true);
    try (JsonParser in = JsonText.FACTORY.createParser(body)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("the report must be a JSON object");
      }
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String field = in.currentName();
        in.nextToken();
        switch (field) {
          case "clockMs" -> clock = in.getLongValue();
          case "born" -> born = in.getLongValue();
          case "running" -> activeRuns = parseActiveRuns(in);
          case "ended" -> completions = parseCompletions(in);
          default -> in.skipChildren();
        }
      }
    }
    return new WorkerReport(
        clock, born, activeRuns, completions.withValidNames(), completions.hasAll());
  }

  /** Parses rows of task, run number, checkpoint, percent and, from some workers, load. */
  private static List<WorkerReport.ActiveRun> parseActiveRuns(JsonParser in) throws IOException {
    List<WorkerReport.ActiveRun> activeRuns = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_ARRAY) {
      in.nextToken();
      final Optional<TaskRef> task = TaskNames.parse(in.getText());
      final int run = in.nextIntValue(0);
      in.nextToken();
      in.nextToken();
      int percent = (int) in.getValueAsDouble();
      skipToRowEnd(in);
      task.ifPresent(t -> activeRuns.add(new WorkerReport.ActiveRun(new RunRef(t, run), percent)));
    }
    return activeRuns;
  }

  /** Parses rows of sequence number, task, run number, outcome and checkpoint. */
  private static CompletionList parseCompletions(JsonParser in) throws IOException {
    List<WorkerReport.Completion> completions = new ArrayList<>();
    int rows = 0;
    while (in.nextToken() == JsonToken.START_ARRAY) {
      rows++;
      final long sequence = in.nextLongValue(0);
      in.nextToken();
      final Optional<TaskRef> task = TaskNames.parse(in.getText());
      final int run = in.nextIntValue(0);
      in.nextToken();
      RunOutcome outcome = toRunOutcome(in.getText());
      skipToRowEnd(in);
      task.ifPresent(
          t -> completions.add(new WorkerReport.Completion(sequence, new RunRef(t, run), outcome)));
    }
    return new CompletionList(completions, rows < MAX_COMPLETIONS_PER_REPORT);
  }

  private static RunOutcome toRunOutcome(String outcome) {
    return switch (outcome) {
      case "done" -> RunOutcome.DONE;
      case "failed" -> RunOutcome.FAILED;
      case "stopped" -> RunOutcome.STOPPED;
      case "lapsed" -> RunOutcome.LAPSED;
      default -> RunOutcome.BROKEN;
    };
  }

  private static void skipToRowEnd(JsonParser in) throws IOException {
    while (in.currentToken() != JsonToken.END_ARRAY) {
      if (in.nextToken() == null) {
        throw new IOException("the report ends within a row");
      }
    }
  }
}
