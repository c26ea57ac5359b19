package org.marjoramhoist.trial;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Submits jobs of legal size, each with a new ID, and awaits each response.
 *
 * <p>Safe for use by several threads.
 */
final class LegalJobs implements ClientCrowd.Behavior {

  /** Far from the IDs of ordinary callers. */
  private static final long FIRST_ID = 1L << 40;

  private static final int REQUESTS = 1_000;

  private final String body;
  private final AtomicLong ids = new AtomicLong(FIRST_ID);

  /**
   * Creates the behavior.
   *
   * @param steps the number of steps, of one task each that takes far longer than is told
   * @param rackBytes the bytes of each step's preferred rack, which no worker is in
   */
  LegalJobs(int steps, int rackBytes) {
    StringBuilder json = new StringBuilder("{\"bestEffort\":true,\"spec\":\"5000\",\"steps\":[");
    for (int i = 0; i < steps; i++) {
      json.append(i == 0 ? "" : ",")
          .append("{\"count\":1,\"cpu\":1000,\"memMb\":64,\"estimateMs\":1,\"preferredRack\":\"")
          .append("x".repeat(rackBytes))
          .append(i)
          .append("\"}");
    }
    body = json.append("]}").toString();
  }

  int bodyBytes() {
    return body.length();
  }

  @Override
  public void use(Socket socket, OutputStream out) throws IOException {
    byte[] buffer = new byte[4_096];
    socket.setSoTimeout(60_000);
    for (int i = 0; i < REQUESTS; i++) {
      String head =
          String.format(
              Locale.ROOT,
              "POST /check/%016x HTTP/1.1\r\nHost: reviews.example\r\n"
                  + "X-Marjoramhoist-Deadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n",
              ids.incrementAndGet(),
              body.length());
      out.write((head + body).getBytes(StandardCharsets.US_ASCII));
      if (socket.getInputStream().read(buffer) < 0) {
        return;
      }
    }
  }
}
