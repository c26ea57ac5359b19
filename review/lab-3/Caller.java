import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One HTTP call over a connection of its own. */
final class Caller {

  /**
   * An answer.
   *
   * @param status 0 if there was none; -1 if there was no connection
   */
  record Answer(int status, String body) {}

  private Caller() {}

  static Answer call(
      String address, String method, String path, String host, String body, int deadlineMillis, int waitMillis) {
    int colon = address.indexOf(':');
    InetSocketAddress to =
        new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      try {
        socket.connect(to, Math.min(waitMillis, 1_000));
      } catch (IOException e) {
        return new Answer(-1, "");
      }
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\n"
              + "X-Marjoramhoist-Deadline-Ms: " + deadlineMillis + "\r\nContent-Length: " + bytes.length
              + "\r\n\r\n";
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.getBytes(StandardCharsets.US_ASCII));
      all.write(bytes);
      OutputStream out = socket.getOutputStream();
      out.write(all.toByteArray());
      out.flush();
      socket.setSoTimeout(waitMillis);
      return read(socket.getInputStream());
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }

  private static Answer read(InputStream in) throws IOException {
    int status = Integer.parseInt(line(in).split(" ")[1]);
    int length = -1;
    for (String each = line(in); !each.isEmpty(); each = line(in)) {
      if (each.toLowerCase().startsWith("content-length:")) {
        length = Integer.parseInt(each.substring(15).trim());
      }
    }
    byte[] body = length >= 0 ? in.readNBytes(length) : in.readAllBytes();
    if (length >= 0 && body.length < length) {
      throw new IOException("cut");
    }
    return new Answer(status, new String(body, StandardCharsets.UTF_8));
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int c = in.read();
      if (c < 0) {
        throw new IOException("ended");
      }
      if (c == '\n') {
        return bytes.toString(StandardCharsets.ISO_8859_1);
      }
      if (c != '\r') {
        bytes.write(c);
      }
    }
  }
}
