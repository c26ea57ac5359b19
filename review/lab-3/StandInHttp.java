import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on a loopback address, with a thread for each connection. */
final class StandInHttp implements AutoCloseable {

  /** A request that was read as a whole. */
  record Request(
      String method, String path, Map<String, String> query, Map<String, String> headers, String body) {}

  /** The answer to a request. Without one, the connection stays silent for good. */
  record Reply(int status, String body) {
    static final Reply SILENCE = new Reply(0, "");
    static final Reply RESET = new Reply(-1, "");
  }

  interface Handler {
    Reply handle(Request request) throws Exception;
  }

  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 20_000;
  private static final Random PORTS = new Random();
  private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

  private final Handler handler;
  private final int port;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;

  StandInHttp(Handler handler) throws IOException {
    this.handler = handler;
    this.port = freePort("127.0.0.1");
    listen();
  }

  /** Returns a port that is free on a loopback address, below those that outgoing connections use. */
  static int freePort(String address) throws IOException {
    while (true) {
      int port = FIRST_PORT + PORTS.nextInt(PORT_COUNT);
      if (TAKEN.add(port)) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress(InetAddress.getByName(address), port));
          return port;
        } catch (IOException e) {
          continue;
        }
      }
    }
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Listens, at first or again after a crash. */
  void listen() throws IOException {
    ServerSocket next = new ServerSocket();
    next.setReuseAddress(true);
    next.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
    server = next;
    Thread thread = new Thread(() -> accept(next), "accept-" + port);
    thread.setDaemon(true);
    thread.start();
  }

  /** Refuses connections and resets the open ones, as the end of a process does. */
  void crash() {
    close();
    open.forEach(StandInHttp::reset);
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  private void accept(ServerSocket from) {
    while (!from.isClosed()) {
      try {
        Socket socket = from.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        Thread thread = new Thread(null, () -> serve(socket), "serve-" + port, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        // The listening socket is closed, or the client has gone.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
      OutputStream out = socket.getOutputStream();
      while (true) {
        Request request = read(in);
        if (request == null) {
          return;
        }
        Reply reply = handler.handle(request);
        if (reply == Reply.RESET) {
          reset(socket);
          return;
        }
        if (reply == Reply.SILENCE) {
          while (in.read() >= 0) {
            // What else comes on this connection is not answered either.
          }
          return;
        }
        byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
        String head =
            "HTTP/1.1 " + reply.status() + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.US_ASCII));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
      }
    } catch (Exception e) {
      // The connection ends.
    } finally {
      open.remove(socket);
    }
  }

  private static Request read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      return null;
    }
    String[] parts = line.split(" ");
    Map<String, String> headers = new HashMap<>();
    for (String each = line(in); each != null && !each.isEmpty(); each = line(in)) {
      int colon = each.indexOf(':');
      headers.put(each.substring(0, colon).toLowerCase(Locale.ROOT), each.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      return null;
    }
    String path = parts[1];
    Map<String, String> query = new HashMap<>();
    int mark = path.indexOf('?');
    if (mark >= 0) {
      for (String each : path.substring(mark + 1).split("&")) {
        String[] pair = each.split("=", 2);
        query.put(pair[0], java.net.URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
      }
      path = path.substring(0, mark);
    }
    return new Request(parts[0], path, query, headers, new String(body, StandardCharsets.UTF_8));
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int c = in.read();
    if (c < 0) {
      return null;
    }
    while (c >= 0 && c != '\n') {
      if (c != '\r') {
        bytes.write(c);
      }
      c = in.read();
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}
