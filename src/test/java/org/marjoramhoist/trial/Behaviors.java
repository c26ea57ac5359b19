package org.marjoramhoist.trial;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.marjoramhoist.trial.ClientCrowd.Behavior;

/**
 * What clients send that don't keep to the interface, or keep to it at its very limits.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Behaviors {

  /** The most bytes that a client sends on a connection. */
  static final int MOST_BYTES = 16 << 20;

  private static final int BLOCK_BYTES = 8 * 1_024;
  private static final int PAUSE_AFTER_BYTES = 1_000_000;
  private static final long PAUSE_MILLIS = 2_000;

  private Behaviors() {}

  /** Sends a beginning, and then the same bytes without end, after a pause on the way. */
  static Behavior endless(String beginning, String repeated) {
    byte[] block = ascii(repeated.repeat(Math.max(1, BLOCK_BYTES / repeated.length())));
    return (socket, out) -> {
      out.write(ascii(beginning));
      for (int sent = 0; sent < MOST_BYTES; sent += block.length) {
        out.write(block);
        if (sent / PAUSE_AFTER_BYTES != (sent + block.length) / PAUSE_AFTER_BYTES) {
          pause();
        }
      }
      awaitClose(socket);
    };
  }

  /** Sends a beginning, and then the same bytes as fast as the host reads them. */
  static Behavior fast(String beginning, String repeated) {
    byte[] block = ascii(repeated.repeat(Math.max(1, BLOCK_BYTES / repeated.length())));
    return (socket, out) -> {
      out.write(ascii(beginning));
      writeAll(out, block);
      awaitClose(socket);
    };
  }

  private static void writeAll(OutputStream out, byte[] block) throws IOException {
    for (int sent = 0; sent < MOST_BYTES; sent += block.length) {
      out.write(block);
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /** Sends bytes and leaves the connection open. */
  static Behavior held(String text) {
    return (socket, out) -> {
      out.write(ascii(text));
      awaitClose(socket);
    };
  }

  /** Sends a request again and again without reading a byte. */
  static Behavior unread(String request) {
    byte[] block = ascii(request.repeat(Math.max(1, BLOCK_BYTES / request.length())));
    return (socket, out) -> {
      writeAll(out, block);
      sleepUntilClosed(socket);
    };
  }

  /** Sends a request again and again on one connection and reads each response. */
  static Behavior kept(int requests, String request) {
    byte[] bytes = ascii(request);
    return (socket, out) -> {
      byte[] buffer = new byte[BLOCK_BYTES];
      for (int i = 0; i < requests; i++) {
        out.write(bytes);
        if (socket.getInputStream().read(buffer) < 0) {
          return;
        }
      }
    };
  }

  /** Sends a request, ends its direction of the connection, and reads nothing. */
  static Behavior halfClosed(String request) {
    return (socket, out) -> {
      out.write(ascii(request));
      socket.shutdownOutput();
      sleepUntilClosed(socket);
    };
  }

  /** Returns a number of header lines with distinct names. */
  static String oddLines(int count, int valueBytes) {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < count; i++) {
      lines.append(String.format(Locale.ROOT, "x-%05x: %s\r\n", i, "v".repeat(valueBytes)));
    }
    return lines.toString();
  }

  /** Reads until the connection ends or the crowd closes it. */
  private static void awaitClose(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    byte[] buffer = new byte[BLOCK_BYTES];
    while (!socket.isClosed()) {
      try {
        if (in.read(buffer) < 0) {
          return;
        }
      } catch (SocketTimeoutException e) {
        Thread.onSpinWait();
      }
    }
  }

  private static void sleepUntilClosed(Socket socket) throws IOException {
    while (!socket.isClosed()) {
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  /** Writes a request whose last bytes are missing. */
  static Behavior heldBody(String head, int bytes) {
    byte[] block = ascii("x".repeat(BLOCK_BYTES));
    return (Socket socket, OutputStream out) -> {
      out.write(ascii(head));
      for (int left = bytes; left > 0; left -= block.length) {
        out.write(block, 0, Math.min(left, block.length));
      }
      awaitClose(socket);
    };
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
