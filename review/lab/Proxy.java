import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards connections to a port on the loopback address, and resets them on request. */
final class Proxy implements AutoCloseable {

  private final ServerSocket listener =
      new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final int target;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  Proxy(int target) throws IOException {
    this.target = target;
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        Socket far = new Socket("127.0.0.1", target);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        sockets.add(near);
        sockets.add(far);
        start(() -> copy(near, far));
        start(() -> copy(far, near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      // The connection was reset or closed.
      Thread.currentThread().interrupt();
    }
  }

  /** Resets both ends of all connections. */
  void resetAll() throws IOException {
    for (Socket socket : sockets) {
      if (!socket.isClosed()) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }
    sockets.clear();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
