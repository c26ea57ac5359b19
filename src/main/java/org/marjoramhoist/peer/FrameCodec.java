package org.marjoramhoist.peer;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Reads and writes frames: a length of four bytes, then one MessagePack value.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class FrameCodec {

  /** The longest frame, in bytes. */
  public static final int MAX_FRAME_BYTES = 16 << 20;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(new MessagePackFactory())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private FrameCodec() {}

  /**
   * Returns a value as the bytes of a frame, without the length.
   *
   * @throws IOException if the value has no MessagePack form or is too long
   */
  public static byte[] encode(Object value) throws IOException {
    try {
      byte[] bytes = MAPPER.writeValueAsBytes(value);
      if (bytes.length > MAX_FRAME_BYTES) {
        throw new IOException("frame of " + bytes.length + " bytes is too long");
      }
      return bytes;
    } catch (JsonProcessingException e) {
      throw new IOException("no MessagePack form: " + e.getOriginalMessage(), e);
    }
  }

  /**
   * Reads the bytes of a frame as a value.
   *
   * @throws IOException if the bytes are not such a value
   */
  public static <T> T decode(byte[] bytes, Class<T> type) throws IOException {
    try (JsonParser tokens = MessagePackTokens.read(bytes, MAPPER).asParserOnFirstToken()) {
      T value = MAPPER.readValue(tokens, type);
      if (value == null) {
        throw new IOException("frame holds no " + type.getSimpleName());
      }
      return value;
    } catch (RuntimeException e) {
      throw new IOException("not a " + type.getSimpleName() + ": " + e.getMessage(), e);
    }
  }

  /** Writes a frame; the caller flushes. */
  static void write(DataOutputStream out, byte[] frame) throws IOException {
    out.writeInt(frame.length);
    out.write(frame);
  }

  /**
   * Reads a frame.
   *
   * @throws IOException if the connection ends or the length is out of bounds
   */
  static byte[] read(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 1 || length > MAX_FRAME_BYTES) {
      throw new IOException("frame length out of bounds: " + length);
    }
    byte[] frame = in.readNBytes(length);
    if (frame.length < length) {
      throw new IOException("connection ended within a frame");
    }
    return frame;
  }
}
