package org.marjoramhoist.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a reply's body as a whole, or line by line as it arrives.
 *
 * <p>Invariant: exactly one of the two ends is told, once. Confined to the channel's I/O thread.
 */
final class BodyReader implements ChannelListener<StreamSourceChannel> {

  private final int maxBytes;
  private final Consumer<String> lines;
  private final Consumer<String> done;
  private final Consumer<String> failed;
  private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
  private ByteBufferPool buffers;

  /**
   * Creates a reader.
   *
   * @param maxBytes the largest body, or the longest line
   * @param lines takes each line; null to collect the body
   * @param done takes the body, or the rest after the last line
   * @param failed takes what went wrong
   */
  BodyReader(int maxBytes, Consumer<String> lines, Consumer<String> done, Consumer<String> failed) {
    this.maxBytes = maxBytes;
    this.lines = lines;
    this.done = done;
    this.failed = failed;
  }

  void start(StreamSourceChannel channel, ByteBufferPool pool) {
    buffers = pool;
    handleEvent(channel);
  }

  @Override
  public void handleEvent(StreamSourceChannel channel) {
    try (PooledByteBuffer pooled = buffers.allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (true) {
        buffer.clear();
        int read = channel.read(buffer);
        if (read == 0) {
          channel.getReadSetter().set(this);
          channel.resumeReads();
          return;
        }
        if (read < 0) {
          done.accept(take());
          return;
        }
        buffer.flip();
        if (!consume(buffer)) {
          failed.accept("the reply is larger than " + maxBytes + " bytes");
          return;
        }
      }
    } catch (IOException e) {
      failed.accept("connection lost: " + e.getMessage());
    }
  }

  private boolean consume(ByteBuffer buffer) {
    while (buffer.hasRemaining()) {
      byte next = buffer.get();
      if (next == '\n' && lines != null) {
        lines.accept(take());
      } else {
        collected.write(next);
      }
    }
    return collected.size() <= maxBytes;
  }

  private String take() {
    String text = collected.toString(StandardCharsets.UTF_8);
    collected.reset();
    return text;
  }
}
