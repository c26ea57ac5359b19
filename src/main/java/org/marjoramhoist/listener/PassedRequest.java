package org.marjoramhoist.listener;

import java.nio.ByteBuffer;

/** A request on its way to the HTTP server, which reads it in parts. Confined to one thread. */
final class PassedRequest {

  /** Nothing to read. */
  static final PassedRequest NONE =
      new PassedRequest(ByteBuffer.allocate(0), ByteBuffer.allocate(0));

  private final ByteBuffer head;
  private final ByteBuffer body;

  PassedRequest(ByteBuffer head, ByteBuffer body) {
    this.head = head;
    this.body = body;
  }

  boolean hasRemaining() {
    return head.hasRemaining() || body.hasRemaining();
  }

  int remainingHeadBytes() {
    return head.remaining();
  }

  int remainingBodyBytes() {
    return body.remaining();
  }

  /** Moves bytes to a buffer, as many as it has room for, and returns their number. */
  int moveTo(ByteBuffer target) {
    return move(head, target) + move(body, target);
  }

  private static int move(ByteBuffer source, ByteBuffer target) {
    int length = Math.min(source.remaining(), target.remaining());
    target.put(target.position(), source, source.position(), length);
    target.position(target.position() + length);
    source.position(source.position() + length);
    return length;
  }
}
