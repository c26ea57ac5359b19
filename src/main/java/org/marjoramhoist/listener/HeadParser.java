package org.marjoramhoist.listener;

import java.util.Arrays;
import java.util.Locale;

/**
 * Parses the head of a request byte by byte, and keeps only what the handler uses of it.
 *
 * <p>What it keeps is written anew, so that whoever reads it next finds one form only. Confined to
 * one thread.
 */
final class HeadParser {

  private static final int MAX_KEPT_NAME_BYTES = 64;
  private static final int MAX_LENGTH_DIGITS = 18;
  private static final String HOST = "host";
  private static final String LENGTH = "content-length";
  private static final String CODING = "transfer-encoding";
  private static final String CONNECTION = "connection";
  private static final String EXPECT = "expect";
  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

  private enum State {
    BEFORE,
    REQUEST_LINE,
    LINE_START,
    NAME,
    VALUE,
    IGNORED_VALUE,
    END
  }

  private final HeadForm form;
  private final int maxBytes;
  private final ByteArray line = new ByteArray();
  private final ByteArray kept = new ByteArray();
  private State state = State.BEFORE;
  private Refusal refusal;
  private boolean afterReturn;
  private int bytes;
  private int bytesBefore;
  private int nameBytes;
  private String name = "";
  private String seenNames = " ";
  private boolean oldVersion;
  private boolean closes;
  private boolean keepsAlive;
  private boolean chunked;
  private boolean awaitsContinue;
  private long length = -1;

  HeadParser(HeadForm form, int maxBytes) {
    this.form = form;
    this.maxBytes = maxBytes;
  }

  /** Returns whether more than empty lines were read. */
  boolean hasStarted() {
    return state != State.BEFORE;
  }

  boolean isComplete() {
    return state == State.END;
  }

  /** Returns why the head is refused; null if it isn't. */
  Refusal refusal() {
    return refusal;
  }

  /** Returns the length of the body; -1 if the head does not tell. */
  long length() {
    return length;
  }

  boolean isChunked() {
    return chunked;
  }

  /** Returns whether the client sends the body only once it is told to. */
  boolean awaitsContinue() {
    return awaitsContinue && !oldVersion;
  }

  int heldBytes() {
    return line.capacity() + kept.capacity();
  }

  /** Reads bytes until the head is complete or refused, and returns the position after them. */
  int read(byte[] source, int from, int to) {
    int i = from;
    while (i < to && refusal == null && state != State.END) {
      next(source[i++]);
    }
    return i;
  }

  private void next(byte c) {
    if (state == State.BEFORE) {
      if (c == '\r' || c == '\n') {
        refuseIf(++bytesBefore > maxBytes, Refusal.HEAD_TOO_LONG);
        return;
      }
      state = State.REQUEST_LINE;
    }
    if (++bytes > maxBytes) {
      refusal = Refusal.HEAD_TOO_LONG;
    } else if (c == '\n') {
      afterReturn = false;
      endLine();
    } else if (afterReturn) {
      refusal = Refusal.MALFORMED;
    } else if (c == '\r') {
      afterReturn = true;
    } else {
      add(c);
    }
  }

  private void refuseIf(boolean condition, Refusal reason) {
    if (condition) {
      refusal = reason;
    }
  }

  private void add(byte c) {
    switch (state) {
      case REQUEST_LINE -> line.add(c);
      case LINE_START, NAME -> addToName(c);
      case VALUE -> {
        refuseIf(isControl(c), Refusal.MALFORMED);
        line.add(c);
      }
      default -> refuseIf(isControl(c), Refusal.MALFORMED);
    }
  }

  private void addToName(byte c) {
    if (state == State.LINE_START) {
      state = State.NAME;
      nameBytes = 0;
      line.clear();
    }
    if (c == ':') {
      refuseIf(nameBytes == 0, Refusal.MALFORMED);
      name = nameBytes > MAX_KEPT_NAME_BYTES ? "" : line.text().toLowerCase(Locale.ROOT);
      state = isUsed(name) ? State.VALUE : State.IGNORED_VALUE;
      line.clear();
    } else if (!isTokenByte(c)) {
      refusal = Refusal.MALFORMED;
    } else if (++nameBytes <= MAX_KEPT_NAME_BYTES) {
      line.add(c);
    }
  }

  private boolean isUsed(String lowerCaseName) {
    return switch (lowerCaseName) {
      case HOST, LENGTH, CODING, CONNECTION, EXPECT -> true;
      default -> form.usesHeader(lowerCaseName);
    };
  }

  private static boolean isControl(byte c) {
    return c >= 0 && c < ' ' && c != '\t' || c == 0x7f;
  }

  private static boolean isTokenByte(byte c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || c > 0 && TOKEN_MARKS.indexOf(c) >= 0;
  }

  private void endLine() {
    switch (state) {
      case REQUEST_LINE -> {
        takeRequestLine(line.text());
        state = State.LINE_START;
      }
      case LINE_START -> {
        refuseIf(chunked && (length >= 0 || oldVersion), Refusal.MALFORMED);
        state = State.END;
      }
      case NAME -> refusal = Refusal.MALFORMED;
      case VALUE -> {
        takeHeader(line.text().trim());
        state = State.LINE_START;
      }
      default -> state = State.LINE_START;
    }
  }

  private void takeRequestLine(String text) {
    String[] parts = text.split(" ", -1);
    if (parts.length != 3 || !isToken(parts[0]) || !isTarget(parts[1])) {
      refusal = Refusal.MALFORMED;
      return;
    }
    oldVersion = parts[2].equals("HTTP/1.0");
    refuseIf(!oldVersion && !parts[2].equals("HTTP/1.1"), Refusal.UNKNOWN_VERSION);
    int query = parts[1].indexOf('?');
    String target =
        query < 0 || form.usesQuery() ? parts[1] : parts[1].substring(0, Math.max(1, query));
    kept.add(parts[0] + " " + target + " " + parts[2] + "\r\n");
  }

  private static boolean isToken(String text) {
    return !text.isEmpty() && text.chars().allMatch(c -> c < 0x7f && isTokenByte((byte) c));
  }

  private static boolean isTarget(String text) {
    return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
  }

  private void takeHeader(String value) {
    if (name.equals(CONNECTION)) {
      takeConnection(value.toLowerCase(Locale.ROOT));
      return;
    }
    boolean isRepeated = seenNames.contains(" " + name + " ");
    boolean mayRepeat = !name.equals(HOST) && !name.equals(LENGTH) && !name.equals(CODING);
    if (isRepeated) {
      refuseIf(!mayRepeat, Refusal.MALFORMED);
      return;
    }
    seenNames += name + " ";
    switch (name) {
      case LENGTH -> takeLength(value);
      case CODING -> {
        chunked = true;
        refuseIf(!value.equalsIgnoreCase("chunked"), Refusal.UNKNOWN_CODING);
      }
      case EXPECT -> awaitsContinue = value.equalsIgnoreCase("100-continue");
      default -> kept.add(name + ": " + value + "\r\n");
    }
  }

  private void takeConnection(String value) {
    for (String option : value.split(",")) {
      closes |= option.trim().equals("close");
      keepsAlive |= option.trim().equals("keep-alive");
    }
  }

  private void takeLength(String value) {
    boolean isNumber =
        !value.isEmpty()
            && value.length() <= MAX_LENGTH_DIGITS
            && value.chars().allMatch(c -> c >= '0' && c <= '9');
    if (isNumber) {
      length = Long.parseLong(value);
    } else {
      refusal = Refusal.MALFORMED;
    }
  }

  /** Returns the complete head as that of the connection's last request, which has no body. */
  byte[] passedOnAsLast() {
    closes = true;
    length = 0;
    return passedOn(0);
  }

  /** Returns the complete head as it is passed on, for a body of known length. */
  byte[] passedOn(int bodyBytes) {
    ByteArray head = new ByteArray(kept.size() + 64);
    head.add(kept.array(), 0, kept.size());
    if (bodyBytes > 0 || length == 0 || chunked) {
      head.add("content-length: " + bodyBytes + "\r\n");
    }
    if (closes) {
      head.add("connection: close\r\n");
    } else if (oldVersion && keepsAlive) {
      head.add("connection: keep-alive\r\n");
    }
    head.add("\r\n");
    return Arrays.copyOf(head.array(), head.size());
  }
}
