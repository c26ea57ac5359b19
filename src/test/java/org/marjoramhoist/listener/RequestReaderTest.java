package org.marjoramhoist.listener;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.model.RequestLimits;

/** What is read as a request, what is refused, and what is held meanwhile. */
class RequestReaderTest {

  private static final RequestLimits LIMITS = new RequestLimits(512, 1_000, 3_000, 15_000);
  private static final HeadForm FORM = new HeadForm(Set.of("X-Deadline"), false);
  private static final String GET = "GET /check/ HTTP/1.1\r\n";
  private static final String POST = "POST /check/1 HTTP/1.1\r\nHost: h\r\n";
  private static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";

  private final RequestReader reader = new RequestReader(FORM, LIMITS);
  private int position;

  private RequestReader read(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    position = reader.read(bytes, 0, bytes.length);
    return reader;
  }

  private String passedOn(String text) {
    assertThat(read(text).refusal()).isNull();
    assertThat(reader.isComplete()).isTrue();
    return textOf(reader.passedOn());
  }

  private static String textOf(PassedRequest request) {
    ByteBuffer buffer = ByteBuffer.allocate(4_096);
    assertThat(request.moveTo(buffer)).isEqualTo(buffer.position());
    assertThat(request.hasRemaining()).isFalse();
    return new String(buffer.array(), 0, buffer.position(), StandardCharsets.ISO_8859_1);
  }

  @Test
  void headIsPassedOnWithoutWhatNobodyUses() {
    String lines = "Host: h\r\nCookie: a=b\r\nX-DEADLINE:  5 \r\nAccept: */*\r\n\r\n";
    assertThat(passedOn("\r\n\nGET /check/?a=b HTTP/1.1\r\n" + lines))
        .isEqualTo("GET /check/ HTTP/1.1\r\nhost: h\r\nx-deadline: 5\r\n\r\n");
  }

  @Test
  void linesMayEndWithoutReturn() {
    assertThat(passedOn("GET / HTTP/1.1\nHost: h\n\n"))
        .isEqualTo("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  }

  @Test
  void bodyEndsWhereItsLengthSays() {
    assertThat(passedOn(POST + "Content-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n"))
        .isEqualTo("POST /check/1 HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc");
    assertThat(position).isEqualTo((POST + "Content-Length: 3\r\n\r\nabc").length());
  }

  @Test
  void chunksBecomeBodyOfKnownLength() {
    String chunks = "3;a=\"b\"\r\nabc\r\n01 \r\nd\r\n0\r\nContent-Length: 9\r\na: b\r\n\r\n";
    assertThat(passedOn(CHUNKED + chunks + "GET"))
        .isEqualTo("POST /check/1 HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nabcd");
    assertThat(position).isEqualTo((CHUNKED + chunks).length());
  }

  @Test
  void requestIsReadByteByByte() {
    String text = CHUNKED + "2\r\nab\r\n0\r\n\r\n";
    for (int i = 0; i < text.length() - 1; i++) {
      read(text.substring(i, i + 1));
      assertThat(reader.isComplete()).isFalse();
    }
    assertThat(passedOn(text.substring(text.length() - 1))).endsWith("\r\n\r\nab");
  }

  @Test
  void connectionOptionsArePassedOn() {
    assertThat(passedOn(GET + "Connection: te, CLOSE\r\nConnection: te\r\n\r\n"))
        .isEqualTo(GET + "connection: close\r\n\r\n");
    assertThat(new RequestReader(FORM, LIMITS).awaitsContinue()).isFalse();
  }

  @Test
  void continuationIsAwaitedUntilTheBodyStarts() {
    read(POST + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assertThat(reader.awaitsContinue()).isTrue();
    read("a");
    assertThat(reader.awaitsContinue()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void headOfShortLinesMayHaveAllowedLength(int excess) {
    String head = "G / HTTP/1.1\r\n" + "a:\r\n".repeat(124) + "\r\n";
    assertThat(head.length()).isEqualTo(LIMITS.maxHeadBytes());
    read(excess == 0 ? head : head.replaceFirst("a:", "aa:"));
    assertThat(reader.refusal()).isEqualTo(excess == 0 ? null : Refusal.HEAD_TOO_LONG);
  }

  @ParameterizedTest
  @CsvSource({
    "'\r\n', HEAD_TOO_LONG",
    "'\n', HEAD_TOO_LONG",
    "G, HEAD_TOO_LONG",
    "'GET /\u0001 HTTP/1.1\r\n', MALFORMED",
    "'GET / HTTP/2.0\r\n', UNKNOWN_VERSION",
    "'GET /\r\n', MALFORMED",
    "'GET  / HTTP/1.1\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\n a: b\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\na : b\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\na\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\n: b\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\na: b\rc\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\na: b\u0007\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\nContent-Length: +1\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\nContent-Length: 1, 1\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n', BODY_TOO_LONG",
    "'GET / HTTP/1.1\r\nContent-Length: 9999999999999999999\r\n', MALFORMED",
    "'GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n', UNKNOWN_CODING",
    "'GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n', MALFORMED",
    "'GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n', MALFORMED"
  })
  void headIsRefused(String text, Refusal refusal) {
    read(text.length() <= 2 ? text.repeat(LIMITS.maxHeadBytes() + 1) : text);
    assertThat(reader.refusal()).isEqualTo(refusal);
    assertThat(reader.isComplete()).isFalse();
  }

  @ParameterizedTest
  @CsvSource({
    "'3e9\r\n', BODY_TOO_LONG",
    "'3e8\r\n', ",
    "'x\r\n', MALFORMED",
    "'\r\n', MALFORMED",
    "'000000001\r\n', MALFORMED",
    "'ffffffff\r\n', BODY_TOO_LONG",
    "'1\r\nab', MALFORMED",
    "'1\rx', MALFORMED",
    "'-1\r\n', MALFORMED"
  })
  void chunkIsRefused(String text, Refusal refusal) {
    assertThat(read(CHUNKED + text).refusal()).isEqualTo(refusal);
    assertThat(reader.isComplete()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"1;", "0\r\na: ", "0\r\n", "1;a=\"b\r\nx\r\n"})
  void whatSurroundsChunksIsBounded(String beginning) {
    String repeated =
        beginning.endsWith("x\r\n") ? beginning : beginning.equals("0\r\n") ? "a\r\n" : "a";
    read(CHUNKED + beginning);
    for (int i = 0; i < LIMITS.maxHeadBytes() && reader.refusal() == null; i++) {
      read(repeated);
    }
    assertThat(reader.refusal()).isEqualTo(Refusal.HEAD_TOO_LONG);
  }

  @Test
  void headOfUnusedLinesIsNotHeld() {
    read(GET + "x-odd: vvvv\r\n".repeat(30));
    assertThat(reader.refusal()).isNull();
    assertThat(reader.heldBytes()).isAtMost(LIMITS.maxHeadBytes());
  }

  @Test
  void heldBytesAreAtMostTwiceWhatIsAllowed() {
    read(POST + "Content-Length: 1000\r\n\r\n" + "x".repeat(999));
    assertThat(reader.isComplete()).isFalse();
    assertThat(reader.heldBytes()).isAtMost(2L * (LIMITS.maxHeadBytes() + LIMITS.maxBodyBytes()));
  }

  @Test
  void requestWithoutItsBodyIsTheLast() {
    read(POST + "Content-Length: 5\r\n\r\nabc");
    String head = textOf(reader.passedOnWithoutBody());
    assertThat(head).contains("content-length: 0\r\n");
    assertThat(head).contains("connection: close\r\n");
  }
}
