import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** What the HTTP stand-ins share. Each call is handled on a thread of its own. */
final class HttpStandIn {

  /** Answers a call. */
  interface Handler {
    Reply handle(String method, String path, Map<String, String> query, String body, Call call)
        throws Exception;
  }

  /** The headers of a call. */
  interface Call {
    String header(String name);
  }

  /** An answer; a status of 0 closes the connection without one. */
  record Reply(int status, String body) {}

  private HttpStandIn() {}

  static HttpServer start(int port, Handler handler) throws IOException {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", exchange -> serve(exchange, handler));
    server.start();
    return server;
  }

  private static void serve(HttpExchange exchange, Handler handler) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int split = pair.indexOf('=');
        query.put(
            pair.substring(0, split),
            java.net.URLDecoder.decode(pair.substring(split + 1), StandardCharsets.UTF_8));
      }
    }
    Reply reply;
    try {
      reply =
          handler.handle(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              query,
              body,
              name -> exchange.getRequestHeaders().getFirst(name));
    } catch (Exception e) {
      e.printStackTrace();
      reply = new Reply(400, "{}");
    }
    if (reply.status() != 0) {
      byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
      if (bytes.length > 0) {
        exchange.getResponseBody().write(bytes);
      }
    }
    exchange.close();
  }
}
