package org.marjoramhoist.peer;

import com.fasterxml.jackson.core.ObjectCodec;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads a MessagePack value as the tokens that Jackson binds.
 *
 * <p>Jackson's own binding of MessagePack decodes short texts in the default charset of the
 * process; MessagePack texts are UTF-8 everywhere. Invariant: texts have the letters that were
 * sent, whatever the environment of this process. Stateless and safe for use by several threads.
 */
final class MessagePackTokens {

  /** The deepest nesting that is read. */
  private static final int MAX_DEPTH = 100;

  private MessagePackTokens() {}

  /**
   * Reads the first value in some bytes; others may follow it.
   *
   * @param codec binds the tokens later
   * @throws IOException if the bytes hold no whole value, or one that has no form in tokens
   * @throws org.msgpack.core.MessagePackException if the bytes are no MessagePack
   */
  static TokenBuffer read(byte[] bytes, ObjectCodec codec) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      TokenBuffer tokens = new TokenBuffer(codec, false);
      copyValue(in, tokens, 0);
      return tokens;
    }
  }

  private static void copyValue(MessageUnpacker in, TokenBuffer out, int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      throw new IOException("the value is nested deeper than " + MAX_DEPTH);
    }
    switch (in.getNextFormat().getValueType()) {
      case NIL -> {
        in.unpackNil();
        out.writeNull();
      }
      case BOOLEAN -> out.writeBoolean(in.unpackBoolean());
      case INTEGER -> copyInteger(in, out);
      case FLOAT -> out.writeNumber(in.unpackDouble());
      case STRING -> out.writeString(in.unpackString());
      case ARRAY -> copyArray(in, out, depth);
      case MAP -> copyMap(in, out, depth);
      default -> throw new IOException("no value of a message: " + in.getNextFormat());
    }
  }

  private static void copyInteger(MessageUnpacker in, TokenBuffer out) throws IOException {
    if (in.getNextFormat() == MessageFormat.UINT64) {
      out.writeNumber(in.unpackBigInteger());
    } else {
      out.writeNumber(in.unpackLong());
    }
  }

  private static void copyArray(MessageUnpacker in, TokenBuffer out, int depth) throws IOException {
    int size = in.unpackArrayHeader();
    out.writeStartArray();
    for (int i = 0; i < size; i++) {
      copyValue(in, out, depth + 1);
    }
    out.writeEndArray();
  }

  private static void copyMap(MessageUnpacker in, TokenBuffer out, int depth) throws IOException {
    int size = in.unpackMapHeader();
    out.writeStartObject();
    for (int i = 0; i < size; i++) {
      out.writeFieldName(in.unpackString());
      copyValue(in, out, depth + 1);
    }
    out.writeEndObject();
  }
}
