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
import org.marjoramhoist.log.Faults;

/**
 * A client of an etcd v3 store, through its JSON gateway.
 *
 * <p>Calls that exceed the call budget fail without being sent. Safe for use by several threads.
 */
public final class EtcdStore implements Store {

  private static final int HTTP_OK = 200;
  private static final long CALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long WATCH_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(10);

  private final List<String> endpoints;
  private final HttpCaller caller;
  private final CallBudget budget;
  private final AtomicLong sentCalls = new AtomicLong();
  private final AtomicInteger endpointIndex = new AtomicInteger();

  /**
   * Creates a client.
   *
   * @param endpoints {@code host:port} of each endpoint; a failed call selects the next one
   * @param caller the HTTP client
   * @param callsPerSecond the maximum rate of calls
   */
  public EtcdStore(List<String> endpoints, HttpCaller caller, int callsPerSecond) {
    this.endpoints = List.copyOf(endpoints);
    this.caller = caller;
    this.budget = new CallBudget(callsPerSecond, System::nanoTime);
  }

  /** Returns the number of calls sent. */
  public long callCount() {
    return sentCalls.get();
  }

  @Override
  public CompletableFuture<Range> range(String from, String to) {
    return call("/v3/kv/range", EtcdJson.rangeBody(from, to), EtcdJson::parseRange, false);
  }

  @Override
  public CompletableFuture<TxnResult> txn(List<Condition> conditions, List<Op> operations) {
    return call("/v3/kv/txn", EtcdJson.txnBody(conditions, operations), EtcdJson::parseTxn, true);
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
      String path, String body, Function<JsonNode, T> parser, boolean modifies) {
    if (!budget.tryAcquire()) {
      return CompletableFuture.failedFuture(
          new StoreException(false, "store call budget exhausted"));
    }
    sentCalls.incrementAndGet();
    long deadline = System.nanoTime() + CALL_TIMEOUT_NANOS;
    HttpCall call = HttpCall.of(currentEndpoint(), "POST", path, body, deadline);
    CompletableFuture<T> result = new CompletableFuture<>();
    caller
        .call(call)
        .whenComplete(
            (reply, error) -> {
              if (error != null) {
                endpointIndex.incrementAndGet();
                result.completeExceptionally(toStoreException(error, modifies));
              } else {
                complete(result, reply, parser, modifies);
              }
            });
    return result;
  }

  private String currentEndpoint() {
    return endpoints.get(Math.floorMod(endpointIndex.get(), endpoints.size()));
  }

  private static StoreException toStoreException(Throwable error, boolean modifies) {
    return new StoreException(modifies && HttpException.mayHaveArrived(error), error.getMessage());
  }

  private static <T> void complete(
      CompletableFuture<T> result,
      HttpReply reply,
      Function<JsonNode, T> parser,
      boolean modifies) {
    if (reply.status() != HTTP_OK) {
      String message = "the store returned status " + reply.status() + ": " + reply.body();
      result.completeExceptionally(new StoreException(modifies, message));
      return;
    }
    try {
      result.complete(parser.apply(JsonText.MAPPER.readTree(reply.body())));
    } catch (IOException | RuntimeException e) {
      result.completeExceptionally(new StoreException(modifies, "invalid etcd reply: " + e));
    } catch (Error e) {
      result.completeExceptionally(new StoreException(modifies, "invalid etcd reply: " + e));
      Faults.report("etcd reply", e);
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
    if (!budget.tryAcquire()) {
      end.run();
      return () -> {};
    }
    sentCalls.incrementAndGet();
    String body = EtcdJson.watchBody(prefix, fromRevision);
    long deadline = System.nanoTime() + WATCH_TIMEOUT_NANOS;
    HttpCall call = new HttpCall(currentEndpoint(), "POST", "/v3/watch", body, "", deadline, true);
    CompletableFuture<HttpReply> stream =
        caller.call(call, line -> handleLine(line, ended, listener, end));
    stream.whenComplete((reply, error) -> end.run());
    return () -> ended.set(true);
  }

  private static void handleLine(
      String line, AtomicBoolean ended, WatchListener listener, Runnable end) {
    if (ended.get() || line.isBlank()) {
      return;
    }
    try {
      EtcdJson.deliverEvents(JsonText.MAPPER.readTree(line), listener);
    } catch (IOException | RuntimeException e) {
      end.run();
    } catch (Error e) {
      end.run();
      Faults.report("etcd watch", e);
    }
  }

  @Override
  public void close() {
    caller.close();
  }
}
