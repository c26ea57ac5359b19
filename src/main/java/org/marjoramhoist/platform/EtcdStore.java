package org.marjoramhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpException;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.json.JsonText;

/**
 * The store spoken to as etcd v3 through its JSON gateway.
 *
 * <p>Calls beyond the budget fail without being sent. Safe for use by several threads.
 */
public final class EtcdStore implements Store {

  private static final int HTTP_OK = 200;
  private static final long CALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long WATCH_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(10);

  private final List<String> endpoints;
  private final HttpCaller caller;
  private final CallBudget budget;
  private final AtomicLong calls = new AtomicLong();
  private final AtomicInteger endpoint = new AtomicInteger();

  /**
   * Creates a client.
   *
   * @param endpoints {@code host:port} of each endpoint; the next one is used after a failure
   * @param caller sends the calls
   * @param callsPerSecond how many calls this host may make
   */
  public EtcdStore(List<String> endpoints, HttpCaller caller, int callsPerSecond) {
    this.endpoints = List.copyOf(endpoints);
    this.caller = caller;
    this.budget = new CallBudget(callsPerSecond, System::nanoTime);
  }

  /** Returns how many calls were sent. */
  public long callCount() {
    return calls.get();
  }

  @Override
  public CompletableFuture<Range> range(String from, String to) {
    return call("/v3/kv/range", EtcdJson.range(from, to), EtcdJson::readRange, false);
  }

  @Override
  public CompletableFuture<TxnResult> txn(List<Condition> conditions, List<Op> steps) {
    return call("/v3/kv/txn", EtcdJson.txn(conditions, steps), EtcdJson::readTxn, true);
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlSeconds) {
    String body = JsonText.of(java.util.Map.of("TTL", String.valueOf(ttlSeconds)));
    return call("/v3/lease/grant", body, node -> node.path("ID").asLong(), true);
  }

  @Override
  public CompletableFuture<Boolean> keepAlive(long lease) {
    String body = JsonText.of(java.util.Map.of("ID", String.valueOf(lease)));
    return call("/v3/lease/keepalive", body, n -> n.path("result").path("TTL").asLong() > 0, false);
  }

  private <T> CompletableFuture<T> call(
      String path, String body, Function<JsonNode, T> read, boolean changes) {
    if (!budget.take()) {
      return CompletableFuture.failedFuture(
          new StoreException(false, "the store call budget is used up"));
    }
    calls.incrementAndGet();
    long deadline = System.nanoTime() + CALL_TIMEOUT_NANOS;
    HttpCall call = HttpCall.of(current(), "POST", path, body, deadline);
    CompletableFuture<T> result = new CompletableFuture<>();
    caller
        .call(call)
        .whenComplete(
            (reply, error) -> {
              if (error != null) {
                endpoint.incrementAndGet();
                result.completeExceptionally(failure(error, changes));
              } else {
                complete(result, reply, read, changes);
              }
            });
    return result;
  }

  private String current() {
    return endpoints.get(Math.floorMod(endpoint.get(), endpoints.size()));
  }

  private static StoreException failure(Throwable error, boolean changes) {
    return new StoreException(changes && HttpException.mayHaveArrived(error), error.getMessage());
  }

  private static <T> void complete(
      CompletableFuture<T> result, HttpReply reply, Function<JsonNode, T> read, boolean changes) {
    if (reply.status() != HTTP_OK) {
      String message = "the store answered " + reply.status() + ": " + reply.body();
      result.completeExceptionally(new StoreException(changes, message));
      return;
    }
    try {
      result.complete(read.apply(JsonText.MAPPER.readTree(reply.body())));
    } catch (IOException | RuntimeException e) {
      result.completeExceptionally(new StoreException(changes, "not an etcd reply: " + e));
    }
  }

  @Override
  public Watch watch(String prefix, long fromRevision, WatchListener listener) {
    AtomicBoolean ended = new AtomicBoolean();
    Runnable end =
        () -> {
          if (ended.compareAndSet(false, true)) {
            listener.ended();
          }
        };
    if (!budget.take()) {
      end.run();
      return () -> {};
    }
    calls.incrementAndGet();
    String body = EtcdJson.watch(prefix, fromRevision);
    long deadline = System.nanoTime() + WATCH_TIMEOUT_NANOS;
    HttpCall call = new HttpCall(current(), "POST", "/v3/watch", body, "", deadline, true);
    CompletableFuture<HttpReply> stream =
        caller.call(call, line -> heard(line, ended, listener, end));
    stream.whenComplete((reply, error) -> end.run());
    return () -> ended.set(true);
  }

  private static void heard(
      String line, AtomicBoolean ended, WatchListener listener, Runnable end) {
    if (ended.get() || line.isBlank()) {
      return;
    }
    try {
      EtcdJson.readEvents(JsonText.MAPPER.readTree(line), listener);
    } catch (IOException | RuntimeException e) {
      end.run();
    }
  }

  @Override
  public void close() {
    caller.close();
  }
}
