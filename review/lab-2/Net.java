import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback addresses, and a small JSON reader and writer. */
final class Net {

  private Net() {}

  record Req(String method, String path, Map<String, String> query, Map<String, String> headers, String body) {}

  record Resp(int status, String body) {}

  /** Special answers of a handler. */
  static final Resp CLOSE = new Resp(-1, "");
  static final Resp RESET = new Resp(-2, "");
  static final Resp HANG = new Resp(-3, "");

  interface Handler {
    Resp handle(Req request) throws Exception;
  }

  static final class Server {
    final int port;
    private final Handler handler;
    private volatile ServerSocket socket;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server(int wantedPort, Handler handler) throws IOException {
      this.handler = handler;
      // Not a port that the system gives out: an outgoing connection could take it while this server is down.
      this.socket = bind(wantedPort == 0 ? freePort() : wantedPort);
      this.port = socket.getLocalPort();
      accept(socket);
    }

    private static ServerSocket bind(int port) throws IOException {
      ServerSocket made = new ServerSocket();
      made.setReuseAddress(true);
      made.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
      return made;
    }

    private void accept(ServerSocket from) {
      thread("accept-" + port, () -> {
        while (!from.isClosed()) {
          try {
            Socket connection = from.accept();
            connection.setTcpNoDelay(true);
            open.add(connection);
            thread("conn", () -> serve(connection));
          } catch (IOException e) {
            return;
          }
        }
      });
    }

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        while (true) {
          Req request = readRequest(in);
          if (request == null) {
            return;
          }
          Resp response;
          try {
            response = handler.handle(request);
          } catch (Exception e) {
            response = new Resp(500, "{}");
            e.printStackTrace();
          }
          if (response == HANG) {
            while (in.read() >= 0) { }
            return;
          }
          if (response == RESET) {
            connection.setSoLinger(true, 0);
            return;
          }
          if (response == CLOSE) {
            return;
          }
          byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
          String head = "HTTP/1.1 " + response.status() + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
          byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
          byte[] all = new byte[headBytes.length + body.length];
          System.arraycopy(headBytes, 0, all, 0, headBytes.length);
          System.arraycopy(body, 0, all, headBytes.length, body.length);
          out.write(all);
          out.flush();
        }
      } catch (IOException e) {
        // The peer has left, or this server was stopped.
      } finally {
        open.remove(connection);
      }
    }

    /** Closes the listener and resets all connections, as the end of a process does. */
    void stop() {
      try {
        socket.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      resetAll();
    }

    private final List<Socket> fillers = new ArrayList<>();

    /**
     * Is no more heard of: open connections stay silent, and new ones aren't answered, as the queue of the listener is
     * full.
     */
    void goDark() throws IOException {
      socket.close();
      ServerSocket deaf = null;
      for (int i = 0; deaf == null; i++) {
        ServerSocket made = new ServerSocket();
        try {
          made.setReuseAddress(true);
          made.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1);
          deaf = made;
        } catch (IOException e) {
          made.close();
          if (i == 50) {
            throw e;
          }
          sleep(2);
        }
      }
      socket = deaf;
      for (int i = 0; i < 3; i++) {
        Socket filler = new Socket();
        try {
          filler.connect(new InetSocketAddress("127.0.0.1", port), 100);
        } catch (IOException e) {
          // The queue is full.
        }
        fillers.add(filler);
      }
    }

    void resetAll() {
      for (Socket each : fillers) {
        try {
          each.close();
        } catch (IOException e) {
          // Closed already.
        }
      }
      fillers.clear();
      for (Socket each : open) {
        try {
          each.setSoLinger(true, 0);
          each.close();
        } catch (IOException e) {
          // Closed already.
        }
      }
      open.clear();
    }

    /** Listens again on the same port. */
    void restart() throws IOException {
      IOException last = null;
      for (int i = 0; i < 100; i++) {
        try {
          socket = bind(port);
          accept(socket);
          return;
        } catch (IOException e) {
          last = e;
          sleep(20);
        }
      }
      throw last;
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next;
    while ((next = in.read()) >= 0) {
      if (next == '\n') {
        return bytes.toString(StandardCharsets.UTF_8).stripTrailing();
      }
      bytes.write(next);
    }
    return bytes.size() == 0 ? null : bytes.toString(StandardCharsets.UTF_8);
  }

  private static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    String text;
    while ((text = line(in)) != null && !text.isEmpty()) {
      int colon = text.indexOf(':');
      headers.put(text.substring(0, colon).toLowerCase(), text.substring(colon + 1).trim());
    }
    return headers;
  }

  private static Req readRequest(InputStream in) throws IOException {
    String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    String[] parts = first.split(" ");
    Map<String, String> headers = headers(in);
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    String path = parts[1];
    Map<String, String> query = new HashMap<>();
    int mark = path.indexOf('?');
    if (mark >= 0) {
      for (String pair : path.substring(mark + 1).split("&")) {
        int equal = pair.indexOf('=');
        query.put(pair.substring(0, equal), URLDecoder.decode(pair.substring(equal + 1), StandardCharsets.UTF_8));
      }
      path = path.substring(0, mark);
    }
    return new Req(parts[0], path, query, headers, body);
  }

  /** Sends one request over a new connection; status -1 if there is no whole answer in time. */
  static Resp call(int port, String method, String path, String host, String body, int timeoutMillis) {
    return call(port, method, path, host, body, timeoutMillis, timeoutMillis);
  }

  static Resp call(int port, String method, String path, String host, String body, int timeoutMillis, int told) {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", port), Math.min(timeoutMillis, 1000));
      socket.setSoTimeout(timeoutMillis);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nX-Marjoramhoist-Deadline-Ms: "
          + told + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
      OutputStream out = socket.getOutputStream();
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.getBytes(StandardCharsets.US_ASCII));
      all.write(bytes);
      out.write(all.toByteArray());
      out.flush();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String first = line(in);
      if (first == null) {
        return new Resp(-1, "closed");
      }
      int status = Integer.parseInt(first.split(" ")[1]);
      Map<String, String> headers = headers(in);
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      byte[] reply = in.readNBytes(length);
      if (reply.length < length) {
        return new Resp(-1, "cut");
      }
      return new Resp(status, new String(reply, StandardCharsets.UTF_8));
    } catch (IOException e) {
      return new Resp(-1, e.toString());
    }
  }

  static Thread thread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static final java.util.Random PORTS = new java.util.Random();
  private static final Set<Integer> GIVEN_OUT = ConcurrentHashMap.newKeySet();

  /** Returns a free port below those that the system gives out by itself. */
  static int freePort() {
    while (true) {
      int port = 12_000 + PORTS.nextInt(18_000);
      if (!GIVEN_OUT.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // In use.
      }
    }
  }

  // JSON: objects are maps, arrays lists, numbers Long or Double.

  static Object parse(String text) {
    return new Parser(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return text.isBlank() ? Map.of() : (Map<String, Object>) parse(text);
  }

  static long number(Map<String, Object> from, String field) {
    Object value = from.get(field);
    return value == null ? 0 : ((Number) value).longValue();
  }

  private static final class Parser {
    private final String text;
    private int at;

    Parser(String text) {
      this.text = text;
    }

    private char next() {
      while (Character.isWhitespace(text.charAt(at))) {
        at++;
      }
      return text.charAt(at);
    }

    Object value() {
      char c = next();
      if (c == '{') {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
          String key = (String) value();
          next();
          at++;
          map.put(key, value());
          if (next() == ',') {
            at++;
          }
        }
        at++;
        return map;
      }
      if (c == '[') {
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
          list.add(value());
          if (next() == ',') {
            at++;
          }
        }
        at++;
        return list;
      }
      if (c == '"') {
        at++;
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
          char each = text.charAt(at++);
          if (each == '\\') {
            each = text.charAt(at++);
            switch (each) {
              case 'n' -> out.append('\n');
              case 't' -> out.append('\t');
              case 'r' -> out.append('\r');
              case 'b' -> out.append('\b');
              case 'f' -> out.append('\f');
              case 'u' -> {
                out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                at += 4;
              }
              default -> out.append(each);
            }
          } else {
            out.append(each);
          }
        }
        at++;
        return out.toString();
      }
      int start = at;
      while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
        at++;
      }
      String word = text.substring(start, at);
      return switch (word) {
        case "true" -> true;
        case "false" -> false;
        case "null" -> null;
        default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
      };
    }
  }

  static String quote(String text) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }
}
