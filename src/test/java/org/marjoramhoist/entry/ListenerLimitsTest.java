package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.http.Exchanges;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.http.RawCaller;
import org.marjoramhoist.http.Replies;
import org.marjoramhoist.listener.HttpListener;
import org.marjoramhoist.model.RequestLimits;

/** Single clients of a listener, at the limits of requests and beyond. */
class ListenerLimitsTest extends StoreFixture {

  private static final int HEAD_BYTES = RequestLimits.DEFAULT.maxHeadBytes();
  private static final int BODY_BYTES = RequestLimits.DEFAULT.maxBodyBytes();
  private static final String GET = "GET /a HTTP/1.1\r\nHost: h\r\n";
  private static final String POST = "POST /a HTTP/1.1\r\nHost: h\r\n";

  private static final int LARGE_RESPONSE_BYTES = 32 << 20;

  private final AtomicInteger handled = new AtomicInteger();
  private HttpListener listener;
  private RawCaller caller;
  private volatile int responseBytes;

  @BeforeEach
  void startListener() throws IOException {
    String address = "127.0.0.1:" + LoopbackPorts.free(1).get(0);
    listener =
        listen(
            address,
            exchange -> {
              handled.incrementAndGet();
              String path = exchange.getRequestPath();
              String large = "x".repeat(responseBytes);
              Exchanges.receive(
                  exchange,
                  (same, bytes) ->
                      Replies.json(same, 200, large.isEmpty() ? path + " " + bytes.length : large));
            });
    caller = new RawCaller(address);
  }

  @AfterEach
  void stopListener() throws IOException {
    caller.close();
    listener.close();
  }

  private void send(String text) throws IOException {
    caller.send(text.getBytes(StandardCharsets.US_ASCII));
  }

  private void assertServed(int bodyBytes) throws IOException {
    RawCaller.Response response = caller.receive();
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("/a " + bodyBytes);
  }

  private void assertRefused(int status) throws IOException {
    RawCaller.Response response = caller.receive();
    assertThat(response.status()).isEqualTo(status);
    assertThat(response.closesConnection()).isTrue();
    assertThrows(IOException.class, caller::receive);
  }

  private static String headOf(int bytes) {
    String end = "\r\n";
    int left = bytes - GET.length() - end.length();
    String odd = "a:" + "b".repeat(left % 4) + "\r\n";
    return GET + "a:\r\n".repeat(left / 4 - 1) + odd + end;
  }

  @Test
  void longestHeadOfShortestLinesIsServed() throws IOException {
    for (int i = 0; i < 3; i++) {
      send(headOf(HEAD_BYTES));
      assertServed(0);
    }
  }

  @Test
  void longerHeadIsRefused() throws IOException {
    send(headOf(HEAD_BYTES + 1));
    assertRefused(431);
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void longestBodyIsServed() throws IOException {
    send(POST + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES));
    assertServed(BODY_BYTES);
  }

  @Test
  void longestBodyOfSmallestChunksIsServed() throws IOException {
    send(POST + "Transfer-Encoding: chunked\r\n\r\n" + "1;a=b\r\nx\r\n".repeat(100));
    send("1\r\nx\r\n".repeat(BODY_BYTES - 100));
    send("0\r\ntrailer: a\r\n\r\n" + GET + "\r\n");
    assertServed(BODY_BYTES);
    assertServed(0);
  }

  @Test
  void longerBodyIsRefused() throws IOException {
    send(POST + "Content-Length: " + (BODY_BYTES + 1) + "\r\n\r\nx");
    assertRefused(413);
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void bodyThatIsHeldBackIsSentOnceItIsAskedFor() throws IOException {
    send(POST + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assertThat(caller.receiveHead()).isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
    send("ab");
    assertServed(2);
  }

  @Test
  void pipelinedRequestsAreAnsweredInTheirOrder() throws IOException {
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < 1_000; i++) {
      requests.append("GET /").append(i).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    send(requests.toString());
    for (int i = 0; i < 1_000; i++) {
      assertThat(caller.receive().body()).isEqualTo("/" + i + " 0");
    }
  }

  @Test
  void refusalComesAfterTheResponsesBefore() throws IOException {
    send(GET + "\r\n" + GET + " folded\r\n\r\n");
    assertServed(0);
    assertRefused(400);
    assertThat(handled.get()).isEqualTo(1);
  }

  @Test
  void requestInTheBodyOfAnotherIsNone() throws IOException {
    String inner = GET + "\r\n";
    send(POST + "Content-Length: " + inner.length() + "\r\n\r\n" + inner);
    assertServed(inner.length());
    assertThat(handled.get()).isEqualTo(1);
  }

  @Test
  void unfinishedHeadIsRefusedInTime() throws IOException {
    limits = new RequestLimits(HEAD_BYTES, BODY_BYTES, 200, 15_000);
    send(GET);
    assertRefused(408);
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void unfinishedBodyIsRefusedInTime() throws IOException {
    limits = new RequestLimits(HEAD_BYTES, BODY_BYTES, 15_000, 200);
    send(POST + "Content-Length: 2\r\n\r\na");
    assertRefused(408);
    assertThat(handled.get()).isEqualTo(0);
  }

  /** The response is larger than what the kernel holds for a client that reads nothing. */
  @Test
  void responseThatNobodyReadsEndsInTime() throws IOException, InterruptedException {
    limits = new RequestLimits(HEAD_BYTES, BODY_BYTES, 15_000, 300);
    responseBytes = LARGE_RESPONSE_BYTES;
    send(GET + "\r\n");
    Thread.sleep(2_000);
    assertThrows(IOException.class, caller::receive);
  }

  @Test
  void responseThatIsReadSlowlyIsWhole() throws IOException, InterruptedException {
    limits = new RequestLimits(HEAD_BYTES, BODY_BYTES, 15_000, 2_000);
    responseBytes = LARGE_RESPONSE_BYTES;
    send(GET + "\r\n");
    Thread.sleep(500);
    assertThat(caller.receive().body()).hasLength(LARGE_RESPONSE_BYTES);
  }

  @Test
  void idleConnectionIsClosedInTimeAndEmptyLinesDoNotKeepIt() throws IOException {
    limits = new RequestLimits(HEAD_BYTES, BODY_BYTES, 15_000, 200);
    send(GET + "\r\n");
    assertServed(0);
    send("\r\n");
    assertThrows(IOException.class, caller::receive);
  }

  @Test
  void limitsThatChangeHoldForOpenConnections() throws IOException {
    send(GET + "\r\n");
    assertServed(0);
    limits = new RequestLimits(100, BODY_BYTES, 3_000, 15_000);
    send(GET + "a: " + "b".repeat(100) + "\r\n\r\n");
    assertRefused(431);
  }

  @Test
  void halfClosedConnectionGetsItsResponses() throws IOException {
    send((GET + "\r\n").repeat(3));
    caller.closeOutput();
    for (int i = 0; i < 3; i++) {
      assertServed(0);
    }
    assertThrows(IOException.class, caller::receive);
  }
}
