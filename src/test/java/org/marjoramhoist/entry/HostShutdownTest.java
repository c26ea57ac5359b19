package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.http.Exchanges;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.http.RawCaller;
import org.marjoramhoist.http.Replies;
import org.marjoramhoist.lead.GracefulShutdown;
import org.marjoramhoist.listener.HttpListener;

/** The listener for callers while its host stops, with a handler that needs no leader. */
class HostShutdownTest extends StoreFixture {

  private static final byte[] REQUEST = RawCaller.post("host", "/job", "{}");
  private static final int LARGE_BYTES = 16 << 20;

  private final GracefulShutdown shutdown = new GracefulShutdown();
  private final OpenExchanges exchanges = new OpenExchanges();
  private final AtomicInteger read = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private String address;
  private HttpListener listener;
  private HostShutdown hostShutdown;
  private String body = "served";

  @BeforeEach
  void startListener() throws IOException {
    address = "127.0.0.1:" + LoopbackPorts.free(1).get(0);
    listener = listen(address, exchanges.counting(this::handle));
    LeaderTracker leaders = new LeaderTracker();
    hostShutdown =
        new HostShutdown(
            loop,
            shutdown,
            listener,
            exchanges,
            new OpenJobs(
                leaders, SchedulingPolicy.DEFAULT, new SubmissionNumbers(0), new RecentResults()),
            new JobCalls(leaders, 1, new RecentResults()),
            this::refuse,
            () -> false,
            () -> {});
  }

  @AfterEach
  void close() {
    listener.close();
  }

  private void handle(HttpServerExchange exchange) {
    if (shutdown.accepts(EventLoop.now())) {
      Exchanges.receive(exchange, (same, bytes) -> reply(same, 200, body));
    } else {
      refuse(exchange);
    }
  }

  private void refuse(HttpServerExchange exchange) {
    reply(exchange, 503, "refused");
  }

  private void reply(HttpServerExchange exchange, int status, String text) {
    read.incrementAndGet();
    exchange.setPersistent(!shutdown.hasStarted());
    Replies.json(exchange, status, text);
  }

  private void stop(long drainMillis) {
    long endBy = EventLoop.now() + EventLoop.millisToMicros(drainMillis);
    loop.execute(() -> hostShutdown.start(endBy));
  }

  private boolean hasCompletedAfter(long millis) throws InterruptedException {
    return hostShutdown.completed().await(millis, TimeUnit.MILLISECONDS);
  }

  private void callUntilClosed() {
    while (hostShutdown.completed().getCount() > 0) {
      try (RawCaller caller = new RawCaller(address)) {
        caller.send(REQUEST);
        caller.receive();
        answered.incrementAndGet();
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
  }

  @Test
  void eachRequestThatWasReadIsAnsweredUnderSteadyCallers() throws InterruptedException {
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      callers.add(new Thread(this::callUntilClosed));
    }
    callers.forEach(Thread::start);
    stop(6_000);
    assertThat(hasCompletedAfter(4_000)).isTrue();
    for (Thread caller : callers) {
      caller.join();
    }
    assertThat(read.get()).isGreaterThan(0);
    assertThat(answered.get()).isEqualTo(read.get());
  }

  @Test
  void responseToSlowReaderIsWhole() throws IOException, InterruptedException {
    body = "x".repeat(LARGE_BYTES);
    try (RawCaller caller = new RawCaller(address)) {
      caller.send(REQUEST);
      stop(6_000);
      assertThat(hasCompletedAfter(3_000)).isFalse();
      assertThat(caller.receive().body()).hasLength(LARGE_BYTES);
      assertThat(hasCompletedAfter(1_000)).isTrue();
    }
  }

  @Test
  void bodyThatStaysHalfReadIsRefusedBeforeTheHostEnds() throws IOException, InterruptedException {
    try (RawCaller caller = new RawCaller(address)) {
      caller.send(REQUEST, 0, REQUEST.length - 1);
      stop(1_500);
      assertThat(caller.receive().status()).isEqualTo(503);
      assertThat(hasCompletedAfter(1_500)).isTrue();
    }
  }

  @Test
  void requestOnOpenConnectionIsRefusedOnceResultsAreDue()
      throws IOException, InterruptedException {
    try (RawCaller halfRead = new RawCaller(address);
        RawCaller idle = new RawCaller(address)) {
      idle.send(REQUEST);
      assertThat(idle.receive().status()).isEqualTo(200);
      halfRead.send(REQUEST, 0, REQUEST.length - 1);
      stop(1_500);
      assertThat(halfRead.receive().status()).isEqualTo(503);
      idle.send(REQUEST);
      RawCaller.Response response = idle.receive();
      assertThat(response.status()).isEqualTo(503);
      assertThat(response.closesConnection()).isTrue();
      assertThat(hasCompletedAfter(1_500)).isTrue();
    }
  }
}
