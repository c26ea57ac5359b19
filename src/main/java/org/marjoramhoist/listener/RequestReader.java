package org.marjoramhoist.listener;

import java.nio.ByteBuffer;
import org.marjoramhoist.model.RequestLimits;

/**
 * Reads one request as a whole, from its first byte to the last one of its body.
 *
 * <p>Invariant: holds no more than a head and a body of the allowed lengths, each in an array of at
 * most twice that length. Confined to one thread.
 */
final class RequestReader {

  private static final int FIRST_BODY_BYTES = 1_024;

  private final HeadParser head;
  private final RequestLimits limits;
  private ChunkParser chunks;
  private ByteArray body;
  private Refusal refusal;

  RequestReader(HeadForm form, RequestLimits limits) {
    this.limits = limits;
    this.head = new HeadParser(form, limits.maxHeadBytes());
  }

  /** Returns whether more than empty lines were read. */
  boolean hasStarted() {
    return head.hasStarted();
  }

  boolean hasHead() {
    return head.isComplete();
  }

  boolean isComplete() {
    if (refusal != null || !head.isComplete()) {
      return false;
    }
    return chunks != null ? chunks.isComplete() : bodyBytes() >= head.length();
  }

  /** Returns why the request is refused; null if it isn't. */
  Refusal refusal() {
    return refusal;
  }

  /** Returns whether the client sends the body only once it is told to, and has sent none yet. */
  boolean awaitsContinue() {
    return head.isComplete() && head.awaitsContinue() && !isComplete() && bodyBytes() == 0;
  }

  long heldBytes() {
    return head.heldBytes() + (body == null ? 0L : body.capacity());
  }

  private int bodyBytes() {
    return body == null ? 0 : body.size();
  }

  /** Returns how many bytes the rest of the request has at least; 0 if that is unknown. */
  int missingBytes() {
    return head.isComplete() && chunks == null ? (int) head.length() - bodyBytes() : 0;
  }

  /** Reads bytes until the request is complete or refused, and returns the position after them. */
  int read(byte[] source, int from, int to) {
    int i = from;
    if (!head.isComplete()) {
      i = head.read(source, i, to);
      refusal = head.refusal();
      if (refusal == null && head.isComplete()) {
        startBody();
      }
    }
    if (refusal != null || !head.isComplete() || isComplete()) {
      return i;
    }
    if (chunks != null) {
      i = chunks.read(source, i, to, body);
      refusal = chunks.refusal();
    } else {
      int length = Math.min(to - i, missingBytes());
      body.add(source, i, length);
      i += length;
    }
    return i;
  }

  private void startBody() {
    if (head.length() > limits.maxBodyBytes()) {
      refusal = Refusal.BODY_TOO_LONG;
    } else if (head.isChunked()) {
      chunks = new ChunkParser(limits.maxBodyBytes(), limits.maxHeadBytes());
      body = new ByteArray(FIRST_BODY_BYTES);
    } else if (head.length() > 0) {
      body = new ByteArray((int) Math.min(head.length(), FIRST_BODY_BYTES));
    }
  }

  /** Returns the head alone, as that of the connection's last request. */
  PassedRequest passedOnWithoutBody() {
    return new PassedRequest(ByteBuffer.wrap(head.passedOnAsLast()), ByteBuffer.allocate(0));
  }

  /** Returns the whole request, with a body of known length. */
  PassedRequest passedOn() {
    ByteBuffer rest =
        body == null ? ByteBuffer.allocate(0) : ByteBuffer.wrap(body.array(), 0, body.size());
    return new PassedRequest(ByteBuffer.wrap(head.passedOn(bodyBytes())), rest);
  }
}
