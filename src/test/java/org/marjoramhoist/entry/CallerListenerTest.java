package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.http.Exchanges;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.http.RawCaller;
import org.marjoramhoist.http.Replies;
import org.marjoramhoist.listener.HttpListener;

/** The listener for callers, with a handler that reads bodies. */
class CallerListenerTest extends StoreFixture {

  private static final int TOO_MANY_BYTES = (1 << 20) + 1;

  /** How long the accepting thread may take to queue a connection for the I/O thread. */
  private static final long QUEUEING_MILLIS = 200;

  /** Its caller would take a response of 200 for the acceptance of its job. */
  @Test
  void bodyThatIsTooLongIsNotAnsweredAsServed() throws Exception {
    String address = "127.0.0.1:" + LoopbackPorts.free(1).get(0);
    try (HttpListener listener =
            listen(
                address,
                exchange ->
                    Exchanges.receive(
                        exchange, (same, bytes) -> Replies.json(same, 503, "refused")));
        RawCaller caller = new RawCaller(address)) {
      byte[] request = RawCaller.post("host", "/job", "x".repeat(TOO_MANY_BYTES));
      // The head says how long the body is.
      caller.send(request, 0, 1_000);
      assertThat(caller.receive().status()).isAtLeast(400);
    }
  }

  /** The I/O thread called the listener for it again and again, and ran nothing that was due. */
  @Test
  void connectionThatArrivesAsTheListenerClosesDoesNotOccupyTheLoop() throws Exception {
    String address = "127.0.0.1:" + LoopbackPorts.free(1).get(0);
    HttpListener listener = listen(address, exchange -> exchange.endExchange());
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch connected = new CountDownLatch(1);
    CountDownLatch later = new CountDownLatch(1);
    loop.execute(
        () -> {
          blocked.countDown();
          awaitUnchecked(connected);
          listener.close();
          loop.schedule(50, later::countDown);
        });
    blocked.await();
    try (RawCaller caller = new RawCaller(address)) {
      Thread.sleep(QUEUEING_MILLIS);
      connected.countDown();
      assertThat(later.await(5, TimeUnit.SECONDS)).isTrue();
    }
  }

  /** On-call saw a host end with "Address already in use", and not which of its four. */
  @Test
  void addressInUseIsNamed() throws Exception {
    String address = "127.0.0.1:" + LoopbackPorts.free(1).get(0);
    try (HttpListener first = listen(address, exchange -> exchange.endExchange())) {
      first.handleNewConnectionsWith(exchange -> exchange.endExchange());
      BindException e =
          assertThrows(
              BindException.class, () -> listen(address, exchange -> exchange.endExchange()));
      assertThat(e).hasMessageThat().startsWith(address + ": ");
    }
  }

  private static void awaitUnchecked(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
