package org.marjoramhoist.listener;

/**
 * Removes the chunked transfer coding from a body, and drops extensions and trailers as it reads
 * them. Confined to one thread.
 */
final class ChunkParser {

  private static final int MAX_SIZE_DIGITS = 8;
  private static final int HEX = 16;

  private enum State {
    SIZE,
    EXTENSION,
    DATA,
    DATA_END,
    TRAILER,
    END
  }

  private final int maxBodyBytes;
  private final int maxExtraBytes;
  private State state = State.SIZE;
  private Refusal refusal;
  private boolean afterReturn;
  private int digits;
  private long left;
  private int extraBytes;
  private int lineBytes;

  /**
   * Creates a parser.
   *
   * @param maxBodyBytes the longest body
   * @param maxExtraBytes the most bytes of extensions and of trailers, each
   */
  ChunkParser(int maxBodyBytes, int maxExtraBytes) {
    this.maxBodyBytes = maxBodyBytes;
    this.maxExtraBytes = maxExtraBytes;
  }

  boolean isComplete() {
    return state == State.END;
  }

  /** Returns why the body is refused; null if it isn't. */
  Refusal refusal() {
    return refusal;
  }

  /** Reads bytes until the body is complete or refused, and returns the position after them. */
  int read(byte[] source, int from, int to, ByteArray body) {
    int i = from;
    while (i < to && refusal == null && state != State.END) {
      if (state == State.DATA) {
        int length = (int) Math.min(left, to - i);
        body.add(source, i, length);
        i += length;
        left -= length;
        state = left == 0 ? State.DATA_END : State.DATA;
      } else {
        next(source[i++], body);
      }
    }
    return i;
  }

  private void next(byte c, ByteArray body) {
    if (c == '\n') {
      afterReturn = false;
      endLine(body);
    } else if (afterReturn) {
      refusal = Refusal.MALFORMED;
    } else if (c == '\r') {
      afterReturn = true;
    } else {
      add(c);
    }
  }

  private void add(byte c) {
    switch (state) {
      case SIZE -> addToSize(c);
      case EXTENSION, TRAILER -> {
        lineBytes++;
        countExtra();
      }
      default -> refusal = Refusal.MALFORMED;
    }
  }

  private void addToSize(byte c) {
    int digit = Character.digit(c, HEX);
    if (digit >= 0 && digits < MAX_SIZE_DIGITS) {
      digits++;
      left = left * HEX + digit;
    } else if (digits > 0 && (c == ';' || c == ' ' || c == '\t')) {
      state = State.EXTENSION;
      countExtra();
    } else {
      refusal = Refusal.MALFORMED;
    }
  }

  private void countExtra() {
    if (++extraBytes > maxExtraBytes) {
      refusal = Refusal.HEAD_TOO_LONG;
    }
  }

  private void endLine(ByteArray body) {
    switch (state) {
      case SIZE, EXTENSION -> endSize(body);
      case DATA_END -> startSize();
      default -> endTrailer();
    }
  }

  private void startSize() {
    state = State.SIZE;
    digits = 0;
    left = 0;
  }

  private void endSize(ByteArray body) {
    if (digits == 0) {
      refusal = Refusal.MALFORMED;
    } else if (left > maxBodyBytes - body.size()) {
      refusal = Refusal.BODY_TOO_LONG;
    } else if (left > 0) {
      state = State.DATA;
    } else {
      state = State.TRAILER;
      extraBytes = 0;
      lineBytes = 0;
    }
  }

  private void endTrailer() {
    if (lineBytes == 0) {
      state = State.END;
    } else {
      lineBytes = 0;
      countExtra();
    }
  }
}
